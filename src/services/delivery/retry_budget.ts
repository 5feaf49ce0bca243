/**
 * Limits retries to a fraction of the requests. Since each daemon keeps to the
 * limit, so does the fleet, whatever its size. The number of retries saved up
 * for each service is limited, so that a burst of retries does not follow a
 * time without any.
 */

/** Retries that one request earns. */
const retryRatio = 0.1;
/** Retries that can be saved up for one service. */
const maxReserveCount = 10;

/** Holds a token bucket of retries for each service. */
export class RetryBudget {
  readonly #reserves = new Map<string, number>();

  /** Counts a request, which earns a fraction of a retry. */
  noteRequest(service: string): void {
    const reserve = this.#getReserve(service) + retryRatio;
    this.#reserves.set(service, Math.min(reserve, maxReserveCount));
  }

  /** Spends one retry; returns false if the budget does not allow it. */
  trySpend(service: string): boolean {
    const reserve = this.#getReserve(service);
    if (reserve < 1) return false;
    this.#reserves.set(service, reserve - 1);
    return true;
  }

  #getReserve(service: string): number {
    return this.#reserves.get(service) ?? maxReserveCount;
  }
}
