/**
 * Counts the most requested keys of one backend server in bounded memory by
 * the space-saving algorithm: a key without a counter takes over the smallest
 * one. Reports only the part of a count that belongs to the key for certain.
 */
import type { KeyRate } from "../ownership/ownership.ts";

const millisecondsPerSecond = 1_000;

interface KeyCounter {
  count: number;
  /** The part of `count` that other keys may have left. */
  readonly errorCount: number;
}

/** Counts keys with a fixed number of counters. */
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

  /** Returns the highest rates over `elapsedMs` and starts to count anew. */
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
