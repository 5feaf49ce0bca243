/**
 * Estimates how long ago a caller first asked. Requests name only the time that
 * is left, and a caller that returns after a refusal has a new request id and
 * usually another daemon. Callers of one route mostly wait equally long, so that
 * one with less time than the others has asked before. Answers the return of
 * refused callers after a burst. Where patience differs, the estimate is too
 * high, and the caller is treated as one whose objective has passed.
 */

/** Time for which the longest patience of a route is remembered, at least. */
const memoryMs = 30_000;

/** The longest patience in the current period and in the one before it. */
interface LongestPatience {
  periodStartedAtMs: number;
  currentMs: number;
  formerMs: number;
}

/** The patience of the callers of one daemon, by route. */
export class CallerPatience {
  readonly #longest = new Map<string, LongestPatience>();

  /** Learns from a request that has just arrived. */
  note(
    route: string,
    { timeLeftMs, nowMs }: {
      readonly timeLeftMs: number;
      readonly nowMs: number;
    },
  ): void {
    const known = this.#longest.get(route);
    if (known === undefined) {
      this.#longest.set(route, {
        periodStartedAtMs: nowMs,
        currentMs: timeLeftMs,
        formerMs: 0,
      });
      return;
    }
    if (nowMs - known.periodStartedAtMs >= memoryMs) {
      known.periodStartedAtMs = nowMs;
      known.formerMs = known.currentMs;
      known.currentMs = 0;
    }
    known.currentMs = Math.max(known.currentMs, timeLeftMs);
  }

  /** Time since the caller first asked, from the time that it has left. */
  elapsedMs(route: string, timeLeftMs: number): number {
    const known = this.#longest.get(route);
    if (known === undefined) return 0;
    return Math.max(
      0,
      Math.max(known.currentMs, known.formerMs) - timeLeftMs,
    );
  }
}
