/**
 * Counts events of the last `windowMs`. Events are kept in buckets; one counts
 * until at least `windowMs` have passed, and at most one bucket longer.
 */

/** Buckets that a window is divided into. */
export const bucketCount = 128;

/** A count over a moving span of time. */
export class SlidingWindow {
  readonly windowMs: number;
  readonly #bucketDurationMs: number;
  /** One bucket more than the window, for the one that is being filled. */
  readonly #counts = new Int32Array(bucketCount + 1);
  #newestIndex = 0;
  #sum = 0;

  constructor(windowMs: number) {
    this.windowMs = windowMs;
    this.#bucketDurationMs = windowMs / bucketCount;
  }

  /** Counts events that happened `ageMs` ago; a negative count takes back. */
  add(nowMs: number, count: number, ageMs = 0): void {
    this.#advance(nowMs);
    if (count < 0) return this.#remove(-count);
    const index = Math.floor((nowMs - ageMs) / this.#bucketDurationMs);
    if (index < 0 || this.#newestIndex - index > bucketCount) return;
    const position = index % this.#counts.length;
    this.#counts[position] = this.#counts[position]! + count;
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

  /** Takes events back, newest first. */
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

  /** Empties the buckets that have left the window. */
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
