/**
 * Decides when shards may move for the sake of balance: at even intervals,
 * only once the rates were observed long enough with the same servers and
 * daemons, and only while the table answers promptly, since a move lasts at
 * least two commits.
 */

/** Interval between two plans for the sake of balance. */
export const rebalanceIntervalMs = 1_000;
/** Time without a change of servers or daemons before shards may move. */
export const rebalanceSettleMs = 10_000;
/** Longest commit after which moves may begin. */
export const promptCommitMs = 150;

/** Holds back moves that are not necessary. */
export class PlacementGate {
  #topology: string | undefined;
  #settledFromMs: number;
  #checkedAtMs: number;
  #isStorePrompt = true;

  constructor(nowMs: number) {
    this.#settledFromMs = nowMs;
    this.#checkedAtMs = nowMs;
  }

  /** Notes how long the last commit took, successful or not. */
  noteCommit(durationMs: number): void {
    this.#isStorePrompt = durationMs <= promptCommitMs;
  }

  /** Whether the next plan for the sake of balance is due. */
  isDue(nowMs: number): boolean {
    return nowMs - this.#checkedAtMs >= rebalanceIntervalMs;
  }

  /**
   * Whether shards with a usable owner may move now. `topology` names the
   * servers and daemons with their states.
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
