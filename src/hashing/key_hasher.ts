/** The service that provides the hash of keys, the same on every daemon. */
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { ServiceLookup } from "../kernel/kernel.ts";
import { createHashFunction, type HashFunction } from "./key_hash.ts";

/** Provides the hash function. */
export abstract class KeyHasher extends Service {
  override readonly name = ServiceName.KeyHasher;

  /** Returns the hash function; throws before `start` has finished. */
  abstract hashFunction(): HashFunction;
}

/** Provides xxHash, compiled from WebAssembly when the service starts. */
export class XxhashKeyHasher extends KeyHasher {
  #hash: HashFunction | undefined;

  override async start(_services: ServiceLookup): Promise<void> {
    this.#hash = await createHashFunction();
  }

  override hashFunction(): HashFunction {
    if (this.#hash === undefined) {
      throw new Error("the key hasher has not been started");
    }
    return this.#hash;
  }
}

/** Provides a hash function that was created before the service. */
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
