/** A home's refusal, and for how long an entry repeats it on its own. */
import type { WindowKind } from "../../types/enums.ts";
import type { AccountGrant } from "./allowance_messages.ts";

const maxRefusalDurationMs = 100;
const minRefusalDurationMs = 2;

/** Why a request was not admitted. */
export interface LimitRefusal {
  readonly windowKind: WindowKind;
  readonly retryAfterMs: number;
}

/** A refusal that stands for a while. */
export interface CachedRefusal extends LimitRefusal {
  readonly decidedAtMs: number;
  readonly expiresAtMs: number;
}

/** Keeps the refusal in a grant; undefined when the wish was met. */
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
