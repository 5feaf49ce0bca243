/**
 * Counts the events of the last `windowMs` in a ring of buckets. An event
 * counts for at least `windowMs` and at most one bucket longer.
 */

/** Number of buckets in a window. */
export const bucketCount = 128;

/** The number of events in a window that moves with the time. */
export class SlidingWindow {
  readonly windowMs: number;
  readonly #bucketDurationMs: number;
  /** One bucket more than the window has, for the bucket being filled. */
  readonly #counts = new Int32Array(bucketCount + 1);
  #newestIndex = 0;
  #sum = 0;

  constructor(windowMs: number) {
    this.windowMs = windowMs;
    this.#bucketDurationMs = windowMs / bucketCount;
  }

  /** Adds events of `ageMs` ago; a negative count removes the newest events. */
  add(nowMs: number, count: number, ageMs = 0): void {
    this.#advance(nowMs);
    if (count < 0) return this.#remove(-count);
    const index = Math.floor((nowMs - ageMs) / this.#bucketDurationMs);
    if (index < 0 || this.#newestIndex - index > bucketCount) return;
    const position = index % this.#counts.length;
    this.#counts[position] = this.#counts[position]! + count;
    this.#sum += count;
  }

  /** Returns the number of events in the window. */
  sum(nowMs: number): number {
    this.#advance(nowMs);
    return this.#sum;
  }

  /** Returns the time until the sum is at most `limit`, if nothing is added. */
  msUntilAtMost(limit: number, nowMs: number): number {
    this.#advance(nowMs);
    let remainingCount = this.#sum;
    if (remainingCount <= limit) return 0;
    for (let age = bucketCount; age >= 0; age--) {
      remainingCount -= this.#countAt(this.#newestIndex - age);
      if (remainingCount > limit) continue;
      const expiresAtMs = (this.#newestIndex - age + bucketCount + 1) *
        this.#bucketDurationMs;
      return expiresAtMs - nowMs;
    }
    return this.windowMs;
  }

  /** Returns the counts of the buckets, newest first. */
  toCounts(nowMs: number): number[] {
    this.#advance(nowMs);
    const counts: number[] = [];
    for (let age = 0; age <= bucketCount; age++) {
      counts.push(this.#countAt(this.#newestIndex - age));
    }
    return counts;
  }

  /** Creates a window from the counts of another window, newest first. */
  static fromCounts(
    windowMs: number,
    counts: readonly number[],
    options: { readonly countedWindowMs: number; readonly nowMs: number },
  ): SlidingWindow {
    const window = new SlidingWindow(windowMs);
    const countedBucketMs = options.countedWindowMs / bucketCount;
    for (const [bucketAge, count] of counts.entries()) {
      if (count > 0) {
        window.add(options.nowMs, count, bucketAge * countedBucketMs);
      }
    }
    return window;
  }

  #countAt(index: number): number {
    if (index < 0) return 0;
    return this.#counts[index % this.#counts.length]!;
  }

  /** Removes events, newest first. */
  #remove(count: number): void {
    let remainingCount = count;
    for (let age = 0; age <= bucketCount && remainingCount > 0; age++) {
      const index = this.#newestIndex - age;
      if (index < 0) return;
      const position = index % this.#counts.length;
      const removedCount = Math.min(remainingCount, this.#counts[position]!);
      this.#counts[position] = this.#counts[position]! - removedCount;
      this.#sum -= removedCount;
      remainingCount -= removedCount;
    }
  }

  /** Moves the window to `nowMs` and empties the buckets that left it. */
  #advance(nowMs: number): void {
    const index = Math.floor(nowMs / this.#bucketDurationMs);
    const stepCount = Math.min(index - this.#newestIndex, this.#counts.length);
    for (let step = 1; step <= stepCount; step++) {
      const position = (index - stepCount + step) % this.#counts.length;
      this.#sum -= this.#counts[position]!;
      this.#counts[position] = 0;
    }
    this.#newestIndex = Math.max(this.#newestIndex, index);
  }
}
