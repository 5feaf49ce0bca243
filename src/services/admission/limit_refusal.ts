/** Refusals of a home, which an entry repeats for a short time. */
import type { WindowKind } from "../../types/enums.ts";
import type { AccountGrant } from "./allowance_messages.ts";

const maxRefusalDurationMs = 100;
const minRefusalDurationMs = 2;

/** The window that refused a request, and the delay before a retry. */
export interface LimitRefusal {
  readonly windowKind: WindowKind;
  readonly retryAfterMs: number;
}

/** A refusal that an entry repeats until it expires. */
export interface CachedRefusal extends LimitRefusal {
  readonly decidedAtMs: number;
  readonly expiresAtMs: number;
}

/** Returns the refusal in a grant; undefined when no window limited it. */
export function tryCreateCachedRefusal(
  { retryAfterMs, windowKind }: AccountGrant,
  nowMs: number,
): CachedRefusal | undefined {
  if (windowKind === undefined) return undefined;
  const durationMs = Math.min(
    Math.max(retryAfterMs, minRefusalDurationMs),
    maxRefusalDurationMs,
  );
  return {
    windowKind,
    retryAfterMs,
    decidedAtMs: nowMs,
    expiresAtMs: nowMs + durationMs,
  };
}
