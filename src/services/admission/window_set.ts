/** The windows of one account, which are charged together. */
import type { WindowKind } from "../../types/enums.ts";
import type { AllowanceWindow } from "../../types/types.ts";
import { SlidingWindow } from "./sliding_window.ts";

/** The window in which the fewest requests are free. */
export interface TightestWindow {
  readonly kind: WindowKind;
  /** Can be negative after the allowance was reduced. */
  readonly freeCount: number;
  /** Time until one more request is free, if nothing is added. */
  readonly retryAfterMs: number;
}

/** The burst and sustained windows of one account. */
export class WindowSet {
  readonly #windows = new Map<WindowKind, SlidingWindow>();

  /** Applies the limits; keeps the counts when a window's length changes. */
  configure(limits: readonly AllowanceWindow[], nowMs: number): void {
    for (const { kind, windowMs } of limits) {
      const existing = this.#windows.get(kind);
      if (existing?.windowMs === windowMs) continue;
      this.#windows.set(
        kind,
        existing === undefined
          ? new SlidingWindow(windowMs)
          : SlidingWindow.fromCounts(windowMs, existing.toCounts(nowMs), {
            countedWindowMs: existing.windowMs,
            nowMs,
          }),
      );
    }
  }

  replace(kind: WindowKind, window: SlidingWindow): void {
    this.#windows.set(kind, window);
  }

  /** Adds `count` to every window. */
  add(nowMs: number, count: number, ageMs = 0): void {
    for (const window of this.#windows.values()) {
      window.add(nowMs, count, ageMs);
    }
  }

  /** Returns the number of requests charged to one window. */
  sum(kind: WindowKind, nowMs: number): number {
    return this.#windows.get(kind)?.sum(nowMs) ?? 0;
  }

  /** Returns the largest sum of any window; 0 without windows. */
  largestSum(nowMs: number): number {
    const sums = [...this.#windows.values()].map((w) => w.sum(nowMs));
    return Math.max(0, ...sums);
  }

  entries(): Iterable<[WindowKind, SlidingWindow]> {
    return this.#windows.entries();
  }

  /** Finds the tightest window when `reservedCount` is reserved in each. */
  findTightest(
    limits: readonly AllowanceWindow[],
    { nowMs, reservedCount }: {
      readonly nowMs: number;
      readonly reservedCount: number;
    },
  ): TightestWindow {
    let tightest: TightestWindow | undefined;
    for (const { kind, count } of limits) {
      const window = this.#windows.get(kind)!;
      const freeCount = count - reservedCount - window.sum(nowMs);
      const maxSum = Math.max(0, count - reservedCount - 1);
      const retryAfterMs = window.msUntilAtMost(maxSum, nowMs);
      const isTighter = tightest === undefined ||
        freeCount < tightest.freeCount ||
        (freeCount === tightest.freeCount &&
          retryAfterMs > tightest.retryAfterMs);
      if (isTighter) tightest = { kind, freeCount, retryAfterMs };
    }
    if (tightest === undefined) {
      throw new RangeError("the limits contain no window");
    }
    return tightest;
  }
}
