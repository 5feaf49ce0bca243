/**
 * Gathers what the homes counted and turns it into smoothed rates of shards
 * and hot keys, one estimator for each service.
 */
import type { ServiceDefinition } from "../../types/types.ts";
import { computeShard, type HashFunction } from "./key_hash.ts";
import type { KeyRate, ServerObservation } from "./ownership.ts";
import { RateEstimator } from "./placement_rates.ts";

const millisecondsPerSecond = 1_000;

/** Counts of one service since the last sample. */
interface ServiceCounts {
  readonly shardCounts: Map<number, number>;
  readonly keyRates: Map<string, number>;
}

/** The rates that a placement decides by. */
export interface ServiceRates {
  /** Requests per second of each shard, hot keys excluded. */
  readonly shardRates: readonly number[];
  /** The most requested keys, highest first. */
  readonly hotKeys: readonly KeyRate[];
}

/** Rates of every service. */
export class RateBook {
  readonly #hash: HashFunction;
  readonly #counts = new Map<string, ServiceCounts>();
  readonly #estimators = new Map<string, RateEstimator>();

  constructor(hash: HashFunction) {
    this.#hash = hash;
  }

  /** Adds what a home observed. */
  add(observation: ServerObservation): void {
    const { shardCounts, keyRates } = this.#getCounts(observation.service);
    for (const { shard, count } of observation.shardCounts) {
      shardCounts.set(shard, (shardCounts.get(shard) ?? 0) + count);
    }
    for (const { key, requestsPerSecond } of observation.hotKeys) {
      keyRates.set(key, requestsPerSecond);
    }
  }

  /** Closes an interval: its counts go into the rates. */
  sample(definition: ServiceDefinition, intervalMs: number): void {
    const { shardCounts, keyRates } = this.#getCounts(definition.name);
    this.#counts.delete(definition.name);
    const seconds = intervalMs / millisecondsPerSecond;
    this.#getEstimator(definition).update({
      intervalMs,
      shardCounts: Array.from(
        { length: definition.shardCount },
        (_, shard) => shardCounts.get(shard) ?? 0,
      ),
      keyCounts: [...keyRates].map(([key, rate]) => ({
        key,
        shard: computeShard(this.#hash, key, definition),
        count: rate * seconds,
      })),
    });
  }

  /** The rates of a service. */
  rates(definition: ServiceDefinition): ServiceRates {
    const estimator = this.#getEstimator(definition);
    return {
      shardRates: estimator.shardRates().map((rate) => Math.max(0, rate)),
      hotKeys: estimator.hotKeys(),
    };
  }

  #getCounts(service: string): ServiceCounts {
    const known = this.#counts.get(service);
    if (known !== undefined) return known;
    const counts = { shardCounts: new Map(), keyRates: new Map() };
    this.#counts.set(service, counts);
    return counts;
  }

  #getEstimator(definition: ServiceDefinition): RateEstimator {
    const known = this.#estimators.get(definition.name);
    if (known !== undefined) return known;
    const estimator = new RateEstimator(definition.shardCount);
    this.#estimators.set(definition.name, estimator);
    return estimator;
  }
}
