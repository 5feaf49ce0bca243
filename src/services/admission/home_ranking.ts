/**
 * Ranks daemons for each customer by rendezvous hashing: the first is the
 * home of the customer's accounts, the next takes over when it is lost.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { subscribe } from "../../streams/subscribe.ts";
import type { DaemonInfo } from "../../types/types.ts";
import {
  createHashFunction,
  type HashFunction,
} from "../ownership/key_hash.ts";

/** Daemons that can stand in for a home, the home included. */
export const rankedDaemonCount = 3;

/** The ranking by the present membership. */
export class HomeRanking {
  readonly #services: ServiceLookup;
  readonly #hash: HashFunction;
  readonly #ranked = new Map<string, readonly DaemonInfo[]>();
  readonly #unsubscribe: () => void;
  #daemons: readonly DaemonInfo[] | undefined;

  private constructor(services: ServiceLookup, hash: HashFunction) {
    this.#services = services;
    this.#hash = hash;
    this.#unsubscribe = subscribe(
      services.get(ServiceName.Membership).changes,
      () => this.#forget(),
    );
  }

  /** Follows the membership until `close`. */
  static async open(services: ServiceLookup): Promise<HomeRanking> {
    return new HomeRanking(services, await createHashFunction());
  }

  close(): void {
    this.#unsubscribe();
  }

  /** Daemons that share the allowances. */
  daemonCount(): number {
    return this.#candidates().length;
  }

  /** The home of a customer's accounts and the daemons next in line. */
  rank(customer: string): readonly DaemonInfo[] {
    const known = this.#ranked.get(customer);
    if (known !== undefined) return known;
    const daemons = this.#candidates();
    const ranked = rankDaemons(this.#hash, { customer, daemons });
    this.#ranked.set(customer, ranked);
    return ranked;
  }

  #candidates(): readonly DaemonInfo[] {
    this.#daemons ??= this.#services.get(ServiceName.Membership).daemons()
      .filter(({ isDraining }) => !isDraining);
    return this.#daemons;
  }

  #forget(): void {
    this.#daemons = undefined;
    this.#ranked.clear();
  }
}

/** Orders daemons by their weight for a customer, the heaviest first. */
export function rankDaemons<D extends Pick<DaemonInfo, "daemonId">>(
  hash: HashFunction,
  { customer, daemons }: {
    readonly customer: string;
    readonly daemons: readonly D[];
  },
): readonly D[] {
  return daemons
    .map((daemon) => ({
      daemon,
      weight: hash(`${customer}@${daemon.daemonId}`),
    }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, rankedDaemonCount)
    .map(({ daemon }) => daemon);
}
