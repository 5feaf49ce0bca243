/**
 * Adapts the number of concurrent requests to one backend server with additive
 * increase and multiplicative decrease. A warming server starts with a limit of
 * one. Consecutive fast answers raise the limit by one; a refusal or a failure
 * halves it.
 */

/** Consecutive fast answers that raise the limit by one. */
const fastAnswersPerIncrease = 4;
/** An answer is slow when its latency exceeds this multiple of the baseline. */
const slowAnswerFactor = 4;
/** Shorter latencies never count as slow. */
const slowAnswerFloorMs = 20;
/** The limit decreases at most once in this interval. */
const decreaseIntervalMs = 200;
/** Weight in the baseline of an answer that is slower than the baseline. */
const slowerAnswerWeightFraction = 0.01;

/** The adaptive concurrency limit of one server. */
export class ConcurrencyLimit {
  readonly #slotCount: number;
  #limit: number;
  #consecutiveFastCount = 0;
  #baselineMs: number | undefined;
  #decreasedAtMs = Number.NEGATIVE_INFINITY;

  constructor(slotCount: number, options: { readonly isWarming: boolean }) {
    this.#slotCount = slotCount;
    this.#limit = options.isWarming ? 1 : slotCount;
  }

  /** The number of requests that may be in flight, at least one. */
  get current(): number {
    return this.#limit;
  }

  /**
   * Whether the limit has reached the slot count; false while the server warms
   * up.
   */
  get isAtMaximum(): boolean {
    return this.#limit === this.#slotCount;
  }

  /** Updates the limit after an answer. */
  noteAnswer(latencyMs: number): void {
    const baselineMs = this.#updateBaseline(latencyMs);
    const slowThresholdMs = Math.max(
      slowAnswerFloorMs,
      baselineMs * slowAnswerFactor,
    );
    if (latencyMs > slowThresholdMs) {
      this.#consecutiveFastCount = 0;
      return;
    }
    this.#consecutiveFastCount += 1;
    if (this.#consecutiveFastCount < fastAnswersPerIncrease) return;
    this.#consecutiveFastCount = 0;
    this.#limit = Math.min(this.#limit + 1, this.#slotCount);
  }

  /**
   * Lowers the limit after an overload refusal, a connection reset or a missing
   * answer.
   */
  noteOverload(nowMs: number): void {
    this.#consecutiveFastCount = 0;
    if (nowMs - this.#decreasedAtMs < decreaseIntervalMs) return;
    this.#decreasedAtMs = nowMs;
    this.#limit = Math.max(1, Math.floor(this.#limit / 2));
  }

  /**
   * Sets the limit back to one, for a server that returns after it was lost.
   */
  reset(): void {
    this.#limit = 1;
    this.#consecutiveFastCount = 0;
    this.#baselineMs = undefined;
  }

  #updateBaseline(latencyMs: number): number {
    const baselineMs = this.#baselineMs ?? latencyMs;
    this.#baselineMs = latencyMs < baselineMs
      ? latencyMs
      : baselineMs + (latencyMs - baselineMs) * slowerAnswerWeightFraction;
    return this.#baselineMs;
  }
}
