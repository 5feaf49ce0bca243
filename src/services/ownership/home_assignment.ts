/**
 * Chooses the home and the standby of each backend server: rendezvous hashing
 * over the live daemons, bounded so that no daemon carries more than its share
 * of servers. The standby stands in another data centre where there is one.
 */
import { MoveReason } from "../../types/enums.ts";
import type {
  AssignedServer,
  DaemonId,
  DaemonInfo,
} from "../../types/types.ts";
import type { HashFunction } from "../../hashing/key_hash.ts";

/** Counts the servers of each daemon, over all services. */
export type HomeLoads = Map<DaemonId, number>;

/** Chooses homes for one plan; keeps count of what it gave out. */
export class HomeChooser {
  readonly #hash: HashFunction;
  readonly #candidates: readonly DaemonInfo[];
  readonly #loads: HomeLoads;
  readonly #loadLimit: number;

  constructor(options: {
    readonly hash: HashFunction;
    /** Live daemons; those that drain are not chosen. */
    readonly daemons: readonly DaemonInfo[];
    readonly loads: HomeLoads;
    readonly serverCount: number;
  }) {
    this.#hash = options.hash;
    this.#candidates = options.daemons.filter((d) => !d.isDraining);
    this.#loads = options.loads;
    const share = options.serverCount / Math.max(1, this.#candidates.length);
    this.#loadLimit = Math.max(1, Math.ceil(share));
  }

  /** Whether any daemon can be a home. */
  hasCandidates(): boolean {
    return this.#candidates.length > 0;
  }

  /** Whether a daemon may stay or become a home. */
  isCandidate(daemonId: DaemonId | undefined): boolean {
    return this.#candidates.some((d) => d.daemonId === daemonId);
  }

  /** Whether a daemon has more servers than its share. */
  isOverloaded(daemonId: DaemonId): boolean {
    return (this.#loads.get(daemonId) ?? 0) > this.#loadLimit;
  }

  /** Takes a server off a daemon's count. */
  release(daemonId: DaemonId): void {
    this.#loads.set(daemonId, (this.#loads.get(daemonId) ?? 0) - 1);
  }

  /**
   * Chooses a home; undefined when no daemon can be one. The standby goes
   * first unless the move is for balance.
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

  /** Keeps a usable standby; otherwise picks one, elsewhere if it can. */
  tryChooseStandby(server: AssignedServer): DaemonId | undefined {
    const kept = server.standbyDaemonId;
    if (kept !== server.homeDaemonId && this.isCandidate(kept)) return kept;
    const ranked = this.#rank(server.serverId)
      .filter((d) => d.daemonId !== server.homeDaemonId);
    const home = this.#candidates
      .find((d) => d.daemonId === server.homeDaemonId);
    const elsewhere = ranked.find((d) => d.dataCentre !== home?.dataCentre);
    return (elsewhere ?? ranked[0])?.daemonId;
  }

  #tryChooseByRank(server: AssignedServer): DaemonId | undefined {
    const ranked = this.#rank(server.serverId);
    const hasRoom = (d: DaemonInfo) =>
      (this.#loads.get(d.daemonId) ?? 0) < this.#loadLimit;
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
