/** The windows of one account, charged together. */
import type { WindowKind } from "../../types/enums.ts";
import type { AllowanceWindow } from "../../types/types.ts";
import { SlidingWindow } from "./sliding_window.ts";

/** The window that leaves the least room. */
export interface TightestWindow {
  readonly kind: WindowKind;
  /** Requests that still fit; can be negative after an allowance shrank. */
  readonly freeCount: number;
  /** Time until one more request fits, if nothing is added. */
  readonly retryAfterMs: number;
}

/** Burst and sustained windows of one account. */
export class WindowSet {
  readonly #windows = new Map<WindowKind, SlidingWindow>();

  /** Follows the lists; counts are kept when a window's length changes. */
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

  /** Puts a window in place of another. */
  replace(kind: WindowKind, window: SlidingWindow): void {
    this.#windows.set(kind, window);
  }

  /** Charges every window. */
  add(nowMs: number, count: number, ageMs = 0): void {
    for (const window of this.#windows.values()) {
      window.add(nowMs, count, ageMs);
    }
  }

  /** Requests charged to one window. */
  sum(kind: WindowKind, nowMs: number): number {
    return this.#windows.get(kind)?.sum(nowMs) ?? 0;
  }

  /** The largest sum of any window. */
  largestSum(nowMs: number): number {
    const sums = [...this.#windows.values()].map((w) => w.sum(nowMs));
    return Math.max(0, ...sums);
  }

  /** Every window with its kind. */
  entries(): Iterable<[WindowKind, SlidingWindow]> {
    return this.#windows.entries();
  }

  /** Finds the window that binds, with `reservedCount` set aside in each. */
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
    if (tightest === undefined) throw new RangeError("an account has a window");
    return tightest;
  }
}
