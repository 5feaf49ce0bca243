/**
 * The permit of this daemon, as a child in the tree. It counts from before
 * the request that obtained it was sent, by this daemon's monotonic clock.
 */

/** The instant until which this daemon may send work to its servers. */
export class OwnPermit {
  readonly #permitDurationMs: number;
  #expiresAtMs = Number.NEGATIVE_INFINITY;

  constructor(permitDurationMs: number) {
    this.#permitDurationMs = permitDurationMs;
  }

  /** Takes a permit from an answer to a request sent at `sentAtMs`. */
  extend(sentAtMs: number, remainingMs: number): void {
    const durationMs = Math.min(remainingMs, this.#permitDurationMs);
    if (durationMs <= 0) return;
    this.#expiresAtMs = Math.max(this.#expiresAtMs, sentAtMs + durationMs);
  }

  /** Gives the permit up. */
  clear(): void {
    this.#expiresAtMs = Number.NEGATIVE_INFINITY;
  }

  expiresAtMs(): number {
    return this.#expiresAtMs;
  }
}
