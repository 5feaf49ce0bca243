/**
 * Limits the rate at which owned shards and keys move, so that a rebalance is
 * spread over time and few keys are unavailable at once.
 */

const millisecondsPerSecond = 1_000;
const shardsPerMovePerSecond = 256;

/** Number of shards of a service that may move in one second. */
export function computeMovesPerSecond(shardCount: number): number {
  return Math.max(1, shardCount / shardsPerMovePerSecond);
}

/** A token bucket of moves that holds at most the moves of one second. */
export class MoveBudget {
  readonly #movesPerSecond: number;
  #available: number;
  #updatedAtMs: number;

  constructor(
    nowMs: number,
    options: { readonly movesPerSecond: number },
  ) {
    this.#movesPerSecond = options.movesPerSecond;
    this.#available = options.movesPerSecond;
    this.#updatedAtMs = nowMs;
  }

  /** Refills the bucket and returns the whole moves allowed at `nowMs`. */
  available(nowMs: number): number {
    const elapsedMs = nowMs - this.#updatedAtMs;
    const refill = elapsedMs * this.#movesPerSecond / millisecondsPerSecond;
    this.#updatedAtMs = nowMs;
    this.#available = Math.min(
      this.#movesPerSecond,
      this.#available + refill,
    );
    return Math.floor(this.#available);
  }

  /** Removes moves that were made from the bucket. */
  spend(count: number): void {
    this.#available -= count;
  }
}
