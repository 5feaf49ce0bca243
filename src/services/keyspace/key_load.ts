/**
 * How often each part of the key space is asked for. Counts decay, so that
 * the estimate follows keys that become busy within seconds.
 */
import { keyCount, type KeyInterval } from "../../types/routing.ts";

/** Keys that are counted together; the smallest part that is moved. */
export const keysPerBucket = 16;
/** The number of parts that are counted. */
export const bucketCount = keyCount / keysPerBucket;
/** Time after which a count has lost two thirds of its weight; a compromise between noise and delay. */
const decayTimeMs = 4_000;
/** Weight of keys without requests, relative to the measured requests. */
const uniformShare = 0.15;
/** Weight of all keys before anything was measured, in requests. */
const uniformFloor = 20;

/** The bucket of a key. */
export function bucketOf(key: number): number {
  return Math.floor(key / keysPerBucket);
}

/** Decaying counts of one service. */
export class KeyLoad {
  readonly #counts = new Float64Array(bucketCount);
  #updatedAtMs: number;

  constructor(nowMs: number) {
    this.#updatedAtMs = nowMs;
  }

  /** Adds requests for a bucket. */
  add(bucket: number, count: number): void {
    if (bucket >= 0 && bucket < bucketCount) this.#counts[bucket]! += count;
  }

  /** Lets the counts decay up to now. */
  decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.#updatedAtMs) / decayTimeMs);
    this.#updatedAtMs = nowMs;
    for (let i = 0; i < bucketCount; i++) this.#counts[i]! *= factor;
  }

  /** The weights at this moment. */
  snapshot(): KeyWeights {
    return new KeyWeights(this.#counts);
  }
}

/** Weights of the key space at one moment, in requests. */
export class KeyWeights {
  /** Sum of the weights before each bucket. */
  readonly #sums = new Float64Array(bucketCount + 1);
  readonly total: number;

  constructor(counts: Float64Array) {
    let measured = 0;
    for (const count of counts) measured += count;
    const uniform = (measured * uniformShare + uniformFloor) / bucketCount;
    for (let i = 0; i < bucketCount; i++) {
      this.#sums[i + 1] = this.#sums[i]! + counts[i]! + uniform;
    }
    this.total = this.#sums[bucketCount]!;
  }

  /** The weight of the keys from `first` to `last`. */
  weightOf(first: number, last: number): number {
    return this.#sumBefore(last + 1) - this.#sumBefore(first);
  }

  /** The largest bucket start or end within the keys whose weight from `first` is at most `weight`. */
  endOfWeight(first: number, last: number, weight: number): number {
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

  /** As `endOfWeight`, from the other end: the first key of the part. */
  startOfWeight(first: number, last: number, weight: number): number {
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

  /** The bucket with the largest weight within the keys. */
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
