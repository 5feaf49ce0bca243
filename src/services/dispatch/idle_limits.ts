/**
 * Limits how long a keep-alive connection may be idle before it is reused.
 * A backend server may drop idle connections earlier than it announces and
 * then resets the connection on the next request, whose outcome is unknown.
 */

/** The limit, as a fraction of the idle time after which a connection was found broken. */
const safeIdleFraction = 0.5;
/**
 * Smallest limit. A connection that was idle for a shorter time broke for
 * another reason.
 */
const minLimitMs = 40;
/** A limit is lifted after this time without a broken connection. */
const limitDurationMs = 10_000;
/**
 * A connection that the server had closed breaks within a round trip of the
 * request. One that breaks later was open; the server crashed, or lost the answer.
 */
const maxRaceMs = 50;

interface IdleLimit {
  readonly limitMs: number;
  readonly expiresAtMs: number;
}

/** Derives an idle limit for each service from connections that broke. */
export class IdleLimits {
  readonly #limits = new Map<string, IdleLimit>();

  /** Returns the longest allowed idle time; Infinity without a limit. */
  getLimitMs(service: string, nowMs: number): number {
    const limit = this.#limits.get(service);
    return limit === undefined || nowMs >= limit.expiresAtMs
      ? Infinity
      : limit.limitMs;
  }

  /** Records that a reused connection broke before any byte of an answer. */
  noteBroken(
    service: string,
    { idleMs, brokenAfterMs, nowMs }: {
      readonly idleMs: number;
      /** Time from the send to the break. */
      readonly brokenAfterMs: number;
      readonly nowMs: number;
    },
  ): void {
    if (idleMs < minLimitMs || brokenAfterMs > maxRaceMs) return;
    const limitMs = Math.max(
      minLimitMs,
      Math.min(this.getLimitMs(service, nowMs), idleMs * safeIdleFraction),
    );
    this.#limits.set(service, {
      limitMs,
      expiresAtMs: nowMs + limitDurationMs,
    });
  }
}
