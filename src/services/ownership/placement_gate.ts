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
/** Duration of the last commit above which no move of a rebalance starts. */
export const promptCommitMs = 150;

/** Blocks moves of a rebalance while their conditions are not met. */
export class PlacementGate {
  #topology: string | undefined;
  #settledFromMs: number;
  #checkedAtMs: number;
  #isStorePrompt = true;

  constructor(nowMs: number) {
    this.#settledFromMs = nowMs;
    this.#checkedAtMs = nowMs;
  }

  /** Records how long the last commit took, whether or not it succeeded. */
  noteCommit(durationMs: number): void {
    this.#isStorePrompt = durationMs <= promptCommitMs;
  }

  /** Whether the next plan of a rebalance is due. */
  isDue(nowMs: number): boolean {
    return nowMs - this.#checkedAtMs >= rebalanceIntervalMs;
  }

  /**
   * Returns whether shards with a usable owner may move now, and starts the
   * next interval. `topology` lists the servers and daemons with their states.
   */
  pass(nowMs: number, topology: string): boolean {
    this.#checkedAtMs = nowMs;
    if (topology !== this.#topology) {
      this.#topology = topology;
      this.#settledFromMs = nowMs;
    }
    const isSettled = nowMs - this.#settledFromMs >= rebalanceSettleMs;
    return isSettled && this.#isStorePrompt;
  }
}
