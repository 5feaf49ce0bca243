/**
 * Bounds what is sent beyond the first time. The bound holds for the fleet
 * without messages: each daemon keeps to a share of its own requests, and to
 * its part of the fixed allowance.
 */

/** The fleet's bound, for one service and any window. */
export interface RetryBounds {
  readonly windowMs: number;
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats beside those, in the whole fleet. */
  readonly extraCount: number;
}

/** Part of the bound that is used: counts of daemons that restart are lost. */
const usedShare = 0.6;
const slicesPerWindow = 10;

interface Slice {
  readonly startAtMs: number;
  requestCount: number;
  repeatCount: number;
}

/** Counts requests and repeats by service over a sliding window. */
export class RetryAllowance {
  readonly #bounds: RetryBounds;
  readonly #slices = new Map<string, Slice[]>();

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** Counts a request, which earns a part of a repeat. */
  noteRequest(service: string, nowMs: number): void {
    this.#sliceOf(service, nowMs).requestCount += 1;
  }

  /** Takes one repeat; false when the allowance is used up. */
  trySpend(
    service: string,
    options: { readonly nowMs: number; readonly daemonCount: number },
  ): boolean {
    const { nowMs, daemonCount } = options;
    const slice = this.#sliceOf(service, nowMs);
    const { ratio, extraCount } = this.#bounds;
    let requestCount = 0;
    let repeatCount = 0;
    for (const known of this.#slices.get(service)!) {
      requestCount += known.requestCount;
      repeatCount += known.repeatCount;
    }
    const allowedCount = usedShare *
      (ratio * requestCount + extraCount / daemonCount);
    if (repeatCount + 1 > allowedCount) return false;
    slice.repeatCount += 1;
    return true;
  }

  #sliceOf(service: string, nowMs: number): Slice {
    const { windowMs } = this.#bounds;
    const sliceMs = windowMs / slicesPerWindow;
    const startAtMs = Math.floor(nowMs / sliceMs) * sliceMs;
    let slices = this.#slices.get(service);
    if (slices === undefined) {
      slices = [];
      this.#slices.set(service, slices);
    }
    while (slices.length > 0 && slices[0]!.startAtMs <= startAtMs - windowMs) {
      slices.shift();
    }
    const last = slices.at(-1);
    if (last?.startAtMs === startAtMs) return last;
    const slice = { startAtMs, requestCount: 0, repeatCount: 0 };
    slices.push(slice);
    return slice;
  }
}
