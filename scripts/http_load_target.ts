/** Sends the requests of a load over HTTP to the entry listeners of daemons. */
import { Pool } from "undici";
import type { RandomSource } from "../src/host/random_source.ts";
import { KeySampler } from "../src/traces/key_sampler.ts";
import { LoadOutcome, LoadTarget } from "./open_loop_load.ts";

/** The requests to send and the daemons to send them to. */
export interface HttpLoadOptions {
  readonly addresses: readonly string[];
  readonly service: string;
  readonly customer: string;
  readonly method: "GET" | "POST";
  readonly keyCount: number;
  readonly zipfExponent: number;
  readonly connectionsPerAddress: number;
  readonly random: RandomSource;
}

const minErrorStatus = 400;

/** Distributes requests over the addresses in round-robin order. */
export class HttpLoadTarget extends LoadTarget {
  readonly #options: HttpLoadOptions;
  readonly #pools: readonly Pool[];
  readonly #keys: KeySampler;
  #nextPoolIndex = 0;

  constructor(options: HttpLoadOptions) {
    super();
    this.#options = options;
    this.#pools = options.addresses.map((address) =>
      new Pool(`http://${address}`, {
        connections: options.connectionsPerAddress,
      })
    );
    this.#keys = new KeySampler(options.random, {
      keyPrefix: "key",
      keyCount: options.keyCount,
      zipfExponent: options.zipfExponent,
    });
  }

  override async send(): Promise<LoadOutcome> {
    const { service, customer, method, random } = this.#options;
    const pool = this.#pools[this.#nextPoolIndex++ % this.#pools.length]!;
    try {
      const answer = await pool.request({
        path: `/${service}/${this.#keys.nextKey()}/item`,
        method,
        headers: {
          "skylark-customer": customer,
          ...(method === "POST" ? { "idempotency-key": random.nextId() } : {}),
        },
      });
      await answer.body.dump();
      return answer.statusCode < minErrorStatus
        ? LoadOutcome.Answered
        : LoadOutcome.Refused;
    } catch {
      return LoadOutcome.Failed;
    }
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await Promise.all(this.#pools.map((pool) => pool.destroy()));
  }
}
