/**
 * Chooses the home and the standby of each backend server by rendezvous hashing
 * over the live daemons. The number of servers of a daemon is bounded by an
 * equal share, so that no daemon is overloaded. The standby is in another data
 * centre than the home if a daemon is available there.
 */
import { MoveReason } from "../../types/enums.ts";
import type {
  AssignedServer,
  DaemonId,
  DaemonInfo,
} from "../../types/types.ts";
import type { HashFunction } from "../../hashing/key_hash.ts";

/** The number of servers that each daemon is the home of, over all services. */
export type HomeLoads = Map<DaemonId, number>;

/** Chooses homes for one plan and counts the servers that it assigns. */
export class HomeChooser {
  readonly #hash: HashFunction;
  readonly #candidates: readonly DaemonInfo[];
  readonly #loads: HomeLoads;
  readonly #maxServerCount: number;

  constructor(options: {
    readonly hash: HashFunction;
    /** Live daemons; a draining daemon is not chosen. */
    readonly daemons: readonly DaemonInfo[];
    readonly loads: HomeLoads;
    readonly serverCount: number;
  }) {
    this.#hash = options.hash;
    this.#candidates = options.daemons.filter((d) => !d.isDraining);
    this.#loads = options.loads;
    const share = options.serverCount / Math.max(1, this.#candidates.length);
    this.#maxServerCount = Math.max(1, Math.ceil(share));
  }

  /** Whether any daemon may be a home. */
  hasCandidates(): boolean {
    return this.#candidates.length > 0;
  }

  /** Whether a daemon may remain or become a home. */
  isCandidate(daemonId: DaemonId | undefined): boolean {
    return this.#candidates.some((d) => d.daemonId === daemonId);
  }

  /** Whether a daemon has more servers than the bound allows. */
  isOverloaded(daemonId: DaemonId): boolean {
    return (this.#loads.get(daemonId) ?? 0) > this.#maxServerCount;
  }

  /** Subtracts one server from a daemon's count. */
  decrementLoad(daemonId: DaemonId): void {
    this.#loads.set(daemonId, (this.#loads.get(daemonId) ?? 0) - 1);
  }

  /**
   * Chooses a home; undefined when no daemon may be a home. Prefers the standby
   * unless the reason is `Rebalance`.
   */
  tryChooseHome(
    server: AssignedServer,
    reason: MoveReason,
  ): DaemonId | undefined {
    const standby = server.standbyDaemonId;
    const isStandbyFirst = reason !== MoveReason.Rebalance;
    const chosen = isStandbyFirst && this.isCandidate(standby)
      ? standby
      : this.#tryChooseByRank(server);
    if (chosen === undefined) return undefined;
    this.#loads.set(chosen, (this.#loads.get(chosen) ?? 0) + 1);
    return chosen;
  }

  /**
   * Keeps the standby if it may be a home. Otherwise chooses a daemon, in
   * another data centre than the home if there is one.
   */
  tryChooseStandby(server: AssignedServer): DaemonId | undefined {
    const kept = server.standbyDaemonId;
    if (kept !== server.homeDaemonId && this.isCandidate(kept)) return kept;
    const ranked = this.#rank(server.serverId)
      .filter((d) => d.daemonId !== server.homeDaemonId);
    const home = this.#candidates
      .find((d) => d.daemonId === server.homeDaemonId);
    const inOtherDataCentre = ranked.find((d) =>
      d.dataCentre !== home?.dataCentre
    );
    return (inOtherDataCentre ?? ranked[0])?.daemonId;
  }

  #tryChooseByRank(server: AssignedServer): DaemonId | undefined {
    const ranked = this.#rank(server.serverId);
    const hasRoom = (d: DaemonInfo) =>
      (this.#loads.get(d.daemonId) ?? 0) < this.#maxServerCount;
    return (ranked.find(hasRoom) ?? ranked[0])?.daemonId;
  }

  #rank(serverId: string): readonly DaemonInfo[] {
    return this.#candidates
      .map((daemon) => ({
        daemon,
        weight: this.#hash(`${serverId}/${daemon.daemonId}`),
      }))
      .sort((a, b) => b.weight - a.weight)
      .map(({ daemon }) => daemon);
  }
}
