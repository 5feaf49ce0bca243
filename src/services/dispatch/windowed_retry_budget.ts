/**
 * Limits the retries of the whole fleet without coordination between daemons:
 * each daemon keeps to a ratio of its own requests and to its part of the
 * additional retries.
 */

/** The fleet's limit for one service, which holds over any window of `windowMs`. */
export interface RetryBounds {
  readonly windowMs: number;
  /** Retries for each request. */
  readonly ratio: number;
  /** Additional retries in the whole fleet. */
  readonly extraCount: number;
}

/** Fraction of the limit that is used, since a daemon loses its counts on a restart. */
const usedFraction = 0.6;
const slicesPerWindow = 10;

interface Slice {
  readonly startAtMs: number;
  requestCount: number;
  retryCount: number;
}

/** Counts the requests and retries of each service over a sliding window. */
export class WindowedRetryBudget {
  readonly #bounds: RetryBounds;
  readonly #slices = new Map<string, Slice[]>();

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** Counts a request, which earns a fraction of a retry. */
  noteRequest(service: string, nowMs: number): void {
    this.#getSlice(service, nowMs).requestCount += 1;
  }

  /** Spends one retry; returns false if the retry budget is spent. */
  trySpend(
    service: string,
    options: { readonly nowMs: number; readonly daemonCount: number },
  ): boolean {
    const { nowMs, daemonCount } = options;
    const slice = this.#getSlice(service, nowMs);
    const { ratio, extraCount } = this.#bounds;
    let requestCount = 0;
    let retryCount = 0;
    for (const past of this.#slices.get(service)!) {
      requestCount += past.requestCount;
      retryCount += past.retryCount;
    }
    const allowedCount = usedFraction *
      (ratio * requestCount + extraCount / daemonCount);
    if (retryCount + 1 > allowedCount) return false;
    slice.retryCount += 1;
    return true;
  }

  #getSlice(service: string, nowMs: number): Slice {
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
    const slice = { startAtMs, requestCount: 0, retryCount: 0 };
    slices.push(slice);
    return slice;
  }
}
