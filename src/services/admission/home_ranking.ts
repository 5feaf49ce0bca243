/**
 * Ranks the daemons for each customer by rendezvous hashing. The first daemon
 * is the home of the customer's accounts; the next takes over if it is lost.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { subscribe } from "../../streams/subscribe.ts";
import type { DaemonInfo } from "../../types/types.ts";
import type { HashFunction } from "../../hashing/key_hash.ts";

/** Daemons that can act as the home of a customer, including the home. */
export const rankedDaemonCount = 3;

/** Ranks the current members that are not draining. */
export class HomeRanking {
  readonly #services: ServiceLookup;
  readonly #hash: HashFunction;
  readonly #rankedByCustomer = new Map<string, readonly DaemonInfo[]>();
  readonly #unsubscribe: () => void;
  #daemons: readonly DaemonInfo[];

  /** Subscribes to the membership until `close`. */
  constructor(services: ServiceLookup) {
    this.#services = services;
    this.#hash = services.get(ServiceName.KeyHasher).hashFunction();
    this.#daemons = this.#listCandidates();
    this.#unsubscribe = subscribe(
      services.get(ServiceName.Membership).changes,
      () => this.#update(),
    );
  }

  close(): void {
    this.#unsubscribe();
  }

  /** Number of daemons that share the allowances. */
  daemonCount(): number {
    return this.#daemons.length;
  }

  /** Returns the home of a customer's accounts, followed by its successors. */
  rank(customer: string): readonly DaemonInfo[] {
    const cached = this.#rankedByCustomer.get(customer);
    if (cached !== undefined) return cached;
    const ranked = rankDaemons(this.#hash, {
      customer,
      daemons: this.#daemons,
    });
    this.#rankedByCustomer.set(customer, ranked);
    return ranked;
  }

  #listCandidates(): readonly DaemonInfo[] {
    return this.#services.get(ServiceName.Membership).daemons()
      .filter(({ isDraining }) => !isDraining);
  }

  /** Discards the rankings when a daemon or an address has changed. */
  #update(): void {
    const daemons = this.#listCandidates();
    const isSame = daemons.length === this.#daemons.length &&
      daemons.every(({ daemonId, address }, index) =>
        this.#daemons[index]!.daemonId === daemonId &&
        this.#daemons[index]!.address === address
      );
    if (isSame) return;
    this.#daemons = daemons;
    this.#rankedByCustomer.clear();
  }
}

/** Returns the daemons with the highest weights for a customer, in order. */
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
