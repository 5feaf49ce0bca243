/**
 * Estimates how often each part of the key space is requested. Counts decay, so
 * that the estimate follows keys that become busy within seconds.
 */
import { keyCount, type KeyInterval } from "../../types/routing.ts";

/** Number of consecutive keys in a bucket, which are counted and moved together. */
export const keysPerBucket = 16;
/** The number of buckets in the key space. */
export const bucketCount = keyCount / keysPerBucket;
/** Time in which a count loses two thirds of its weight; a shorter time adds noise, a longer one delays the estimate. */
const decayTimeMs = 4_000;
/** Weight that is spread evenly over all keys, as a fraction of the measured requests; it gives a weight to keys without requests. */
const uniformFraction = 0.15;
/** Weight that is spread evenly over all keys before any request was measured, in requests. */
const baseRequestCount = 20;

/** The bucket of a key. */
export function bucketOf(key: number): number {
  return Math.floor(key / keysPerBucket);
}

/** Decaying request counts of one service, by bucket. */
export class KeyLoad {
  readonly #counts = new Float64Array(bucketCount);
  #updatedAtMs: number;

  constructor(nowMs: number) {
    this.#updatedAtMs = nowMs;
  }

  /** Adds requests for the keys of a bucket. */
  add(bucket: number, count: number): void {
    if (bucket >= 0 && bucket < bucketCount) this.#counts[bucket]! += count;
  }

  /** Lets the counts decay up to now. */
  decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.#updatedAtMs) / decayTimeMs);
    this.#updatedAtMs = nowMs;
    for (let i = 0; i < bucketCount; i++) this.#counts[i]! *= factor;
  }

  /** The current weights. */
  snapshot(): KeyWeights {
    return new KeyWeights(this.#counts);
  }
}

/** Weights of the key space at one instant, in requests. */
export class KeyWeights {
  /** Sum of the weights before each bucket. */
  readonly #sums = new Float64Array(bucketCount + 1);
  readonly total: number;

  constructor(counts: Float64Array) {
    let measured = 0;
    for (const count of counts) measured += count;
    const uniformPerBucket = (measured * uniformFraction + baseRequestCount) /
      bucketCount;
    for (let i = 0; i < bucketCount; i++) {
      this.#sums[i + 1] = this.#sums[i]! + counts[i]! + uniformPerBucket;
    }
    this.total = this.#sums[bucketCount]!;
  }

  /** The weight of the keys from `first` to `last`. */
  weightOf(first: number, last: number): number {
    return this.#sumBefore(last + 1) - this.#sumBefore(first);
  }

  /**
   * The last key of the longest part that begins at `first`, ends with a bucket
   * or at `last`, and weighs at most `weight`; the part has at least one bucket.
   */
  lastKeyWithinWeight(first: number, last: number, weight: number): number {
    const limit = this.#sumBefore(first) + weight;
    let low = bucketOf(first) + 1;
    let high = bucketOf(last) + 1;
    while (low < high) {
      const middle = (low + high + 1) >>> 1;
      if (this.#sums[middle]! <= limit) low = middle;
      else high = middle - 1;
    }
    return Math.min(last, low * keysPerBucket - 1);
  }

  /**
   * The first key of the longest part that ends at `last`, begins with a bucket
   * or at `first`, and weighs at most `weight`; the part has at least one bucket.
   */
  firstKeyWithinWeight(first: number, last: number, weight: number): number {
    const limit = this.#sumBefore(last + 1) - weight;
    let low = bucketOf(first);
    let high = bucketOf(last);
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#sums[middle]! >= limit) high = middle;
      else low = middle + 1;
    }
    return Math.max(first, low * keysPerBucket);
  }

  /** The bucket with the largest weight, limited to the keys from `first` to `last`. */
  heaviestBucket(first: number, last: number): KeyInterval {
    let best = bucketOf(first);
    for (let bucket = best + 1; bucket <= bucketOf(last); bucket++) {
      if (this.#weightOfBucket(bucket) > this.#weightOfBucket(best)) {
        best = bucket;
      }
    }
    return {
      first: Math.max(first, best * keysPerBucket),
      last: Math.min(last, (best + 1) * keysPerBucket - 1),
    };
  }

  #weightOfBucket(bucket: number): number {
    return this.#sums[bucket + 1]! - this.#sums[bucket]!;
  }

  #sumBefore(key: number): number {
    const bucket = Math.min(bucketOf(key), bucketCount - 1);
    const within = key - bucket * keysPerBucket;
    const before = this.#sums[bucket]!;
    return before + (this.#sums[bucket + 1]! - before) * within / keysPerBucket;
  }
}
