/**
 * Spreads the grants of a window evenly once its allowance is used up, by a
 * token bucket. Without a pacer, a customer above its allowance would use the
 * whole allowance in the first part of each window and be refused for the rest.
 */
import type { AllowanceWindow } from "../../types/types.ts";

/** Ratio of the pace to the window's mean rate; over 1 to offset idle times. */
const paceFactor = 1.02;
/** Pacing ends when the unused tokens exceed those added in this duration. */
const maxUnusedPaceMs = 1_000;

/** The window and its use that a pacer's decision is based on. */
export interface PacerContext {
  readonly window: AllowanceWindow;
  /** Used and reserved requests in the window. */
  readonly chargedCount: number;
  readonly nowMs: number;
}

/** Limits the rate of grants while a window is used up. */
export class Pacer {
  #isPacing = false;
  #tokenCount = 0;
  #updatedAtMs = 0;

  /**
   * Starts or ends pacing, adds the tokens for the elapsed time, and returns
   * the number of requests that may be granted now; infinite while not pacing.
   */
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

  /** Returns the time until one more request may be granted. */
  retryAfterMs(window: AllowanceWindow): number {
    if (!this.#isPacing) return 0;
    return Math.max(0, 1 - this.#tokenCount) / computeRatePerMs(window);
  }

  /** Returns the tokens of leased requests that were not used. */
  returnTokens(count: number): void {
    this.#tokenCount += count;
  }

  /** Removes the tokens of granted requests. */
  takeTokens(count: number): void {
    this.#tokenCount -= count;
  }
}

function computeRatePerMs({ count, windowMs }: AllowanceWindow): number {
  return count / windowMs * paceFactor;
}
