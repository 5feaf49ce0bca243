/**
 * Spreads a window's allowance evenly once it has been used up. Without it a
 * customer beyond its allowance would use a window's worth in its first part
 * and be refused for the rest, over and over.
 */
import type { AllowanceWindow } from "../../types/types.ts";

/** Pace above the window's average, to make up for lulls. */
const paceHeadroom = 1.02;
/** Unused pace, as a duration, at which pacing ends. */
const unusedDurationMs = 1_000;

/** What a pacer decides by. */
export interface PaceTerms {
  readonly window: AllowanceWindow;
  /** Requests used or set aside in the window. */
  readonly chargedCount: number;
  readonly nowMs: number;
}

/** Limits the rate of grants while a window is used up. */
export class Pacer {
  #isPacing = false;
  #readyCount = 0;
  #updatedAtMs = 0;

  /** Requests that may be granted now; infinite while not pacing. */
  limit({ window, chargedCount, nowMs }: PaceTerms): number {
    if (chargedCount >= window.count) {
      this.#readyCount = this.#isPacing ? this.#readyCount : 0;
      this.#isPacing = true;
      this.#updatedAtMs = nowMs;
    }
    if (!this.#isPacing) return Number.POSITIVE_INFINITY;
    const ratePerMs = paceOf(window);
    this.#readyCount += (nowMs - this.#updatedAtMs) * ratePerMs;
    this.#updatedAtMs = nowMs;
    if (this.#readyCount >= 1 + ratePerMs * unusedDurationMs) {
      this.#isPacing = false;
      return Number.POSITIVE_INFINITY;
    }
    return Math.floor(this.#readyCount);
  }

  /** Time until one more request may be granted. */
  retryAfterMs(window: AllowanceWindow): number {
    if (!this.#isPacing) return 0;
    return Math.max(0, 1 - this.#readyCount) / paceOf(window);
  }

  /** Takes back what was granted and not used. */
  giveBack(count: number): void {
    this.#readyCount += count;
  }

  /** Uses up what was granted. */
  take(count: number): void {
    this.#readyCount -= count;
  }
}

function paceOf({ count, windowMs }: AllowanceWindow): number {
  return count / windowMs * paceHeadroom;
}
