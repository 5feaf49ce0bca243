/**
 * The rate at which owned shards and keys may move, so that a rebalance is
 * spread over time and few keys are in motion at once.
 */

const millisecondsPerSecond = 1_000;
const shardsPerMove = 256;

/** Share of the shards of a service that may move in one second. */
export function computeMovesPerSecond(shardCount: number): number {
  return Math.max(1, shardCount / shardsPerMove);
}

/** Moves allowed now, refilled at a steady rate up to one second's worth. */
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

  /** Whole moves allowed at an instant of the monotonic clock. */
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

  /** Takes moves that were made. */
  spend(count: number): void {
    this.#available -= count;
  }
}
