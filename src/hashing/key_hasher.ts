/** The hash of keys as a service of the daemon; equal on every daemon. */
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { ServiceLookup } from "../kernel/kernel.ts";
import { createHashFunction, type HashFunction } from "./key_hash.ts";

/** Hands out the hash function, once started. */
export abstract class KeyHasher extends Service {
  override readonly name = ServiceName.KeyHasher;

  /** The hash function; throws before `start` has finished. */
  abstract hashFunction(): HashFunction;
}

/** xxHash, compiled from WebAssembly when the service starts. */
export class XxhashKeyHasher extends KeyHasher {
  #hash: HashFunction | undefined;

  override async start(_services: ServiceLookup): Promise<void> {
    this.#hash = await createHashFunction();
  }

  override hashFunction(): HashFunction {
    if (this.#hash === undefined) throw new Error("key hasher not started");
    return this.#hash;
  }
}

/** A function that was loaded before the daemon starts. */
export class LoadedKeyHasher extends KeyHasher {
  readonly #hash: HashFunction;

  constructor(hash: HashFunction) {
    super();
    this.#hash = hash;
  }

  override hashFunction(): HashFunction {
    return this.#hash;
  }
}
