/**
 * Bounds retries to a share of the requests. Each daemon keeps to the share,
 * so the fleet does, however many daemons there are; the reserve of each
 * service is bounded, so a quiet time does not save up a burst.
 */

/** Retries for each request, at most. */
const retryShare = 0.1;
/** Retries that may be saved up for one service. */
const reserveCount = 10;

/** A token bucket for each service. */
export class RetryBudget {
  readonly #reserves = new Map<string, number>();

  /** Counts a request, which earns a part of a retry. */
  noteRequest(service: string): void {
    const reserve = this.#reserveOf(service) + retryShare;
    this.#reserves.set(service, Math.min(reserve, reserveCount));
  }

  /** Spends one retry; false when the budget does not allow it. */
  trySpend(service: string): boolean {
    const reserve = this.#reserveOf(service);
    if (reserve < 1) return false;
    this.#reserves.set(service, reserve - 1);
    return true;
  }

  #reserveOf(service: string): number {
    return this.#reserves.get(service) ?? reserveCount;
  }
}
