/**
 * Counts events of the last `windowMs`. Events are kept in buckets; one counts
 * until at least `windowMs` have passed, and at most one bucket longer.
 */

/** Buckets that a window is divided into. */
export const bucketCount = 128;

/** A count over a moving span of time. */
export class SlidingWindow {
  readonly windowMs: number;
  readonly #bucketMs: number;
  /** One bucket more than the window, for the one that is being filled. */
  readonly #counts = new Int32Array(bucketCount + 1);
  #newestIndex = 0;
  #sum = 0;

  constructor(windowMs: number) {
    this.windowMs = windowMs;
    this.#bucketMs = windowMs / bucketCount;
  }

  /** Counts events that happened `ageMs` ago; a negative count takes back. */
  add(nowMs: number, count: number, ageMs = 0): void {
    this.#advance(nowMs);
    if (count < 0) return this.#remove(-count);
    const index = Math.floor((nowMs - ageMs) / this.#bucketMs);
    if (index < 0 || this.#newestIndex - index > bucketCount) return;
    const slot = index % this.#counts.length;
    this.#counts[slot] = this.#counts[slot]! + count;
    this.#sum += count;
  }

  /** Events of the last `windowMs`. */
  sum(nowMs: number): number {
    this.#advance(nowMs);
    return this.#sum;
  }

  /** Time until the sum is at most `limit`, if nothing is added. */
  msUntilAtMost(limit: number, nowMs: number): number {
    this.#advance(nowMs);
    let remaining = this.#sum;
    if (remaining <= limit) return 0;
    for (let age = bucketCount; age >= 0; age--) {
      remaining -= this.#countAt(this.#newestIndex - age);
      if (remaining > limit) continue;
      const leavesAtMs = (this.#newestIndex - age + bucketCount + 1) *
        this.#bucketMs;
      return leavesAtMs - nowMs;
    }
    return this.windowMs;
  }

  /** The counts of the buckets, newest first. */
  toCounts(nowMs: number): number[] {
    this.#advance(nowMs);
    const counts: number[] = [];
    for (let age = 0; age <= bucketCount; age++) {
      counts.push(this.#countAt(this.#newestIndex - age));
    }
    return counts;
  }

  /** Builds a window from counts, newest first, of a window of any length. */
  static fromCounts(
    windowMs: number,
    counts: readonly number[],
    options: { readonly countedWindowMs: number; readonly nowMs: number },
  ): SlidingWindow {
    const window = new SlidingWindow(windowMs);
    const ageStepMs = options.countedWindowMs / bucketCount;
    for (const [age, count] of counts.entries()) {
      if (count > 0) window.add(options.nowMs, count, age * ageStepMs);
    }
    return window;
  }

  #countAt(index: number): number {
    if (index < 0) return 0;
    return this.#counts[index % this.#counts.length]!;
  }

  /** Takes events back, newest first. */
  #remove(count: number): void {
    let remaining = count;
    for (let age = 0; age <= bucketCount && remaining > 0; age++) {
      const index = this.#newestIndex - age;
      if (index < 0) return;
      const slot = index % this.#counts.length;
      const taken = Math.min(remaining, this.#counts[slot]!);
      this.#counts[slot] = this.#counts[slot]! - taken;
      this.#sum -= taken;
      remaining -= taken;
    }
  }

  /** Empties the buckets that have left the window. */
  #advance(nowMs: number): void {
    const index = Math.floor(nowMs / this.#bucketMs);
    const stepCount = Math.min(index - this.#newestIndex, this.#counts.length);
    for (let step = 1; step <= stepCount; step++) {
      const slot = (index - stepCount + step) % this.#counts.length;
      this.#sum -= this.#counts[slot]!;
      this.#counts[slot] = 0;
    }
    this.#newestIndex = Math.max(this.#newestIndex, index);
  }
}
