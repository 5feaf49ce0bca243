/**
 * Decides when a rebalance may move shards. Rebalances are planned at a fixed
 * interval. Shards move only when the servers and daemons have been the same
 * long enough for the observed rates to be valid, and only while the table
 * commits fast, because a move takes at least two commits.
 */

/** Interval between two plans of a rebalance. */
export const rebalanceIntervalMs = 1_000;
/** Time without a change of servers or daemons before shards may move. */
export const rebalanceSettleMs = 10_000;
/** Duration of the last commit above which a rebalance moves no shard. */
export const maxCommitDurationMs = 150;

/** Blocks moves of a rebalance while their conditions are not met. */
export class PlacementGate {
  #topology: string | undefined;
  #topologyChangedAtMs: number;
  #evaluatedAtMs: number;
  #isTableFast = true;

  constructor(nowMs: number) {
    this.#topologyChangedAtMs = nowMs;
    this.#evaluatedAtMs = nowMs;
  }

  /** Records how long the last commit took, whether or not it succeeded. */
  recordCommitDuration(durationMs: number): void {
    this.#isTableFast = durationMs <= maxCommitDurationMs;
  }

  /** Whether the next plan of a rebalance is due. */
  isPlanDue(nowMs: number): boolean {
    return nowMs - this.#evaluatedAtMs >= rebalanceIntervalMs;
  }

  /**
   * Returns whether shards with a usable owner may move now, and starts the
   * next interval. `topology` lists the servers and daemons with their states.
   */
  evaluate(nowMs: number, topology: string): boolean {
    this.#evaluatedAtMs = nowMs;
    if (topology !== this.#topology) {
      this.#topology = topology;
      this.#topologyChangedAtMs = nowMs;
    }
    const isSettled = nowMs - this.#topologyChangedAtMs >= rebalanceSettleMs;
    return isSettled && this.#isTableFast;
  }
}
