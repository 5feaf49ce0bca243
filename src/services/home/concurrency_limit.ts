/**
 * How many requests one backend server may have at once, from what its
 * answers show. A warming server starts at one; each run of good answers adds
 * one slot, a refusal or a failure halves the limit.
 */

/** Good answers in a row that add one slot. */
const goodAnswersPerIncrease = 4;
/** An answer slower than this multiple of the fastest usual one is not good. */
const slowAnswerFactor = 4;
/** Latencies below this are never slow, in milliseconds. */
const slowAnswerFloorMs = 20;
/** At most one decrease in this time, in milliseconds. */
const decreaseIntervalMs = 200;
/** Weight of one answer in the baseline when it is slower than the baseline. */
const slowerAnswerWeightFraction = 0.01;

/** The adaptive limit of one server. */
export class ConcurrencyLimit {
  readonly #slotCount: number;
  #limit: number;
  #consecutiveGoodCount = 0;
  #baselineMs: number | undefined;
  #decreasedAtMs = Number.NEGATIVE_INFINITY;

  constructor(slotCount: number, options: { readonly isWarming: boolean }) {
    this.#slotCount = slotCount;
    this.#limit = options.isWarming ? 1 : slotCount;
  }

  /** Requests that may be in flight, at least one. */
  get current(): number {
    return this.#limit;
  }

  /** Whether every slot is in use; false while the server warms up. */
  get isAtMaximum(): boolean {
    return this.#limit === this.#slotCount;
  }

  /** Notes an answer and the time it took. */
  noteAnswer(latencyMs: number): void {
    const baselineMs = this.#updateBaseline(latencyMs);
    const slowThresholdMs = Math.max(
      slowAnswerFloorMs,
      baselineMs * slowAnswerFactor,
    );
    if (latencyMs > slowThresholdMs) {
      this.#consecutiveGoodCount = 0;
      return;
    }
    this.#consecutiveGoodCount += 1;
    if (this.#consecutiveGoodCount < goodAnswersPerIncrease) return;
    this.#consecutiveGoodCount = 0;
    this.#limit = Math.min(this.#limit + 1, this.#slotCount);
  }

  /** Notes a refusal for load, a reset or a missing answer. */
  noteOverload(nowMs: number): void {
    this.#consecutiveGoodCount = 0;
    if (nowMs - this.#decreasedAtMs < decreaseIntervalMs) return;
    this.#decreasedAtMs = nowMs;
    this.#limit = Math.max(1, Math.floor(this.#limit / 2));
  }

  /** Starts again at one, for a server that was away. */
  reset(): void {
    this.#limit = 1;
    this.#consecutiveGoodCount = 0;
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
