/** How long servers hold the keys that they are granted, and how often grants are renewed. */

/** The duration of holds, and the time between two renewals. */
export interface HoldTiming {
  readonly durationMs: number;
  readonly renewIntervalMs: number;
}

/** Used while the store answers; a hold outlasts the loss of the granter and the start of the next one. */
export const normalHoldTiming: HoldTiming = {
  durationMs: 4_500,
  renewIntervalMs: 1_200,
};
/**
 * Used while the store does not answer; a hold outlasts an outage of nine
 * seconds, because the last renewal is sent shortly before the lease ends. The
 * duration stays below the maximum that servers accept.
 */
export const outageHoldTiming: HoldTiming = {
  durationMs: 8_000,
  renewIntervalMs: 400,
};
/** A hold may last longer than granted by this factor, because the server's clock may run slow. */
export const clockDriftFactor = 1.02;
/** Maximum time for the delivery of a grant to the server. */
export const deliverySlackMs = 150;
/** Timeout of a grant; servers answer grants immediately. */
export const grantTimeoutMs = 500;
/** The longest time from the sending of any grant to the end of its hold. */
export const longestHoldMs = grantTimeoutMs +
  outageHoldTiming.durationMs * clockDriftFactor + deliverySlackMs;
