/**
 * The permit that this daemon obtained from its parent in the sync tree. Its
 * duration counts from just before the request was sent, by this daemon's
 * monotonic clock, so that it never ends later than the parent assumes.
 */

/** Tracks until when this daemon may send requests to its servers. */
export class OwnPermit {
  readonly #permitDurationMs: number;
  #expiresAtMs = Number.NEGATIVE_INFINITY;

  constructor(permitDurationMs: number) {
    this.#permitDurationMs = permitDurationMs;
  }

  /** Applies the permit in the answer to a request sent at `sentAtMs`. */
  extend(sentAtMs: number, remainingMs: number): void {
    const durationMs = Math.min(remainingMs, this.#permitDurationMs);
    if (durationMs <= 0) return;
    this.#expiresAtMs = Math.max(this.#expiresAtMs, sentAtMs + durationMs);
  }

  /** Ends the permit at once. */
  clear(): void {
    this.#expiresAtMs = Number.NEGATIVE_INFINITY;
  }

  expiresAtMs(): number {
    return this.#expiresAtMs;
  }
}
