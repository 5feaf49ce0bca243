/**
 * Counts the most requested keys of one backend server in bounded memory with
 * the space-saving algorithm: when all counters are in use, a new key replaces
 * the key with the smallest count and continues from that count. Reports only
 * the guaranteed part of each count.
 */
import type { KeyRate } from "../ownership/ownership.ts";

const millisecondsPerSecond = 1_000;

interface KeyCounter {
  count: number;
  /** The part of `count` that was inherited from replaced keys. */
  readonly errorCount: number;
}

/** Counts keys with at most `capacity` counters. */
export class HotKeyCounter {
  readonly #capacity: number;
  readonly #counters = new Map<string, KeyCounter>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Counts one request for a key. */
  add(key: string): void {
    const existing = this.#counters.get(key);
    if (existing !== undefined) {
      existing.count += 1;
      return;
    }
    if (this.#counters.size < this.#capacity) {
      this.#counters.set(key, { count: 1, errorCount: 0 });
      return;
    }
    const errorCount = this.#removeSmallest();
    this.#counters.set(key, { count: errorCount + 1, errorCount });
  }

  /**
   * Returns the `size` highest rates over `elapsedMs` and resets the counters.
   */
  takeTop(size: number, elapsedMs: number): KeyRate[] {
    const seconds = Math.max(elapsedMs, 1) / millisecondsPerSecond;
    const rates = [...this.#counters]
      .map(([key, { count, errorCount }]) => ({
        key,
        requestsPerSecond: (count - errorCount) / seconds,
      }))
      .sort((a, b) => b.requestsPerSecond - a.requestsPerSecond)
      .slice(0, size);
    this.#counters.clear();
    return rates;
  }

  /** Removes the smallest counter and returns its count. */
  #removeSmallest(): number {
    let smallestKey = "";
    let smallestCount = Number.POSITIVE_INFINITY;
    for (const [key, { count }] of this.#counters) {
      if (count >= smallestCount) continue;
      smallestKey = key;
      smallestCount = count;
    }
    this.#counters.delete(smallestKey);
    return smallestCount;
  }
}
