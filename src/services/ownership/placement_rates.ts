/**
 * Smooths the request rates that a placement uses. The proportion of each shard
 * is smoothed with a long time constant, so that counting noise causes no move.
 * The rates of the service and of its hot keys have a short time constant, so
 * that hot keys get overrides within seconds, and so that an increase of the
 * whole service doesn't change the proportions.
 */
import type { KeyRate } from "./ownership.ts";

/** The requests of one service that were counted in one interval. */
export interface RateSample {
  readonly intervalMs: number;
  /** Requests of each shard, hot keys included. */
  readonly shardCounts: readonly number[];
  /** Requests of the most requested keys. */
  readonly keyCounts: readonly KeyCount[];
}

/** Requests of one key in one interval. */
export interface KeyCount {
  readonly key: string;
  readonly shard: number;
  readonly count: number;
}

/** Parameters of the exponential smoothing. */
export interface RateSmoothing {
  /** Time constant of the proportions of shards. */
  readonly shardTimeConstantMs: number;
  /** Time constant of the rates of the service and of keys. */
  readonly keyTimeConstantMs: number;
  /** Maximum number of keys that are reported as hot. */
  readonly hotKeyCount: number;
}

/** Parameters for intervals of about one second. */
export const defaultRateSmoothing: RateSmoothing = {
  shardTimeConstantMs: 20_000,
  keyTimeConstantMs: 4_000,
  hotKeyCount: 20,
};

const millisecondsPerSecond = 1_000;
const minKeyRate = 0.01;

interface SmoothedKey {
  readonly shard: number;
  rate: number;
}

/** Estimates the rates of the shards and hot keys of one service. */
export class RateEstimator {
  readonly #smoothing: RateSmoothing;
  /** Rates with the long time constant; only their proportions are used. */
  readonly #slowRates: number[];
  #totalRate = 0;
  readonly #keys = new Map<string, SmoothedKey>();
  #hotKeys: readonly KeyRate[] = [];
  #sampleCount = 0;

  constructor(
    shardCount: number,
    smoothing: RateSmoothing = defaultRateSmoothing,
  ) {
    this.#smoothing = smoothing;
    this.#slowRates = Array(shardCount).fill(0);
  }

  update(sample: RateSample): void {
    this.#sampleCount += 1;
    this.#updateKeys(sample);
    this.#updateShards(sample);
  }

  /** Requests per second of each shard, hot keys excluded. */
  shardRates(): readonly number[] {
    const slowTotal = sum(this.#slowRates);
    if (slowTotal === 0) return this.#slowRates;
    return this.#slowRates.map((rate) => rate * this.#totalRate / slowTotal);
  }

  /** The most requested keys, highest first. */
  hotKeys(): readonly KeyRate[] {
    return this.#hotKeys;
  }

  #updateKeys({ keyCounts, intervalMs }: RateSample): void {
    const gain = this.#computeGain(
      intervalMs,
      this.#smoothing.keyTimeConstantMs,
    );
    const counted = new Set<string>();
    for (const { key, shard, count } of keyCounts) {
      counted.add(key);
      const smoothed = this.#keys.get(key) ?? { shard, rate: 0 };
      smoothed.rate += gain * (computeRate(count, intervalMs) - smoothed.rate);
      this.#keys.set(key, smoothed);
    }
    for (const [key, smoothed] of this.#keys) {
      if (!counted.has(key)) smoothed.rate -= gain * smoothed.rate;
      if (smoothed.rate < minKeyRate) this.#keys.delete(key);
    }
    this.#hotKeys = [...this.#keys]
      .map(([key, { rate }]) => ({ key, requestsPerSecond: rate }))
      .sort((a, b) => b.requestsPerSecond - a.requestsPerSecond)
      .slice(0, this.#smoothing.hotKeyCount);
  }

  #updateShards({ shardCounts, keyCounts, intervalMs }: RateSample): void {
    const gain = this.#computeGain(
      intervalMs,
      this.#smoothing.shardTimeConstantMs,
    );
    const hotKeyNames = new Set(this.#hotKeys.map(({ key }) => key));
    const counts = shardCounts.slice();
    for (const { key, shard, count } of keyCounts) {
      if (hotKeyNames.has(key)) counts[shard] = counts[shard]! - count;
    }
    for (const [shard, count] of counts.entries()) {
      const rate = this.#slowRates[shard]!;
      this.#slowRates[shard] = rate +
        gain * (computeRate(count, intervalMs) - rate);
    }
    const totalGain = this.#computeGain(
      intervalMs,
      this.#smoothing.keyTimeConstantMs,
    );
    const total = computeRate(sum(counts), intervalMs);
    this.#totalRate += totalGain * (total - this.#totalRate);
  }

  /** The weight of a new sample; the first samples are averaged equally. */
  #computeGain(intervalMs: number, timeConstantMs: number): number {
    const steadyGain = 1 - Math.exp(-intervalMs / timeConstantMs);
    return Math.max(steadyGain, 1 / this.#sampleCount);
  }
}

function computeRate(count: number, intervalMs: number): number {
  return count * millisecondsPerSecond / intervalMs;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
