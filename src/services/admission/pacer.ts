/**
 * Spreads a window's allowance evenly once it has been used up. Without it a
 * customer beyond its allowance would use a window's worth in its first part
 * and be refused for the rest, over and over.
 */
import type { AllowanceWindow } from "../../types/types.ts";

/** Pace above the window's average, to make up for lulls. */
const paceFactor = 1.02;
/** Unused pace, as a duration, at which pacing ends. */
const maxUnusedPaceMs = 1_000;

/** What a pacer decides by. */
export interface PacerContext {
  readonly window: AllowanceWindow;
  /** Requests used or set aside in the window. */
  readonly chargedCount: number;
  readonly nowMs: number;
}

/** Limits the rate of grants while a window is used up. */
export class Pacer {
  #isPacing = false;
  #tokenCount = 0;
  #updatedAtMs = 0;

  /** Requests that may be granted now; infinite while not pacing. */
  updateLimit({ window, chargedCount, nowMs }: PacerContext): number {
    if (chargedCount >= window.count) {
      this.#tokenCount = this.#isPacing ? this.#tokenCount : 0;
      this.#isPacing = true;
      this.#updatedAtMs = nowMs;
    }
    if (!this.#isPacing) return Number.POSITIVE_INFINITY;
    const ratePerMs = computeRatePerMs(window);
    this.#tokenCount += (nowMs - this.#updatedAtMs) * ratePerMs;
    this.#updatedAtMs = nowMs;
    if (this.#tokenCount >= 1 + ratePerMs * maxUnusedPaceMs) {
      this.#isPacing = false;
      return Number.POSITIVE_INFINITY;
    }
    return Math.floor(this.#tokenCount);
  }

  /** Time until one more request may be granted. */
  retryAfterMs(window: AllowanceWindow): number {
    if (!this.#isPacing) return 0;
    return Math.max(0, 1 - this.#tokenCount) / computeRatePerMs(window);
  }

  /** Takes back what was granted and not used. */
  returnTokens(count: number): void {
    this.#tokenCount += count;
  }

  /** Uses up what was granted. */
  takeTokens(count: number): void {
    this.#tokenCount -= count;
  }
}

function computeRatePerMs({ count, windowMs }: AllowanceWindow): number {
  return count / windowMs * paceFactor;
}
