/**
 * Collects the request counts that the homes of one service report. At each
 * plan of a rebalance, updates from the counts the smoothed rates that a
 * placement uses.
 */
import type { ServerId } from "../../types/types.ts";
import type { KeyRate, ServerObservation } from "./ownership.ts";
import { type KeyCount, RateEstimator } from "./placement_rates.ts";

const millisecondsPerSecond = 1_000;

/** Computes the smoothed rates of one service for the coordinator. */
export class ServiceRates {
  readonly #shardOf: (key: string) => number;
  readonly #estimator: RateEstimator;
  readonly #hotKeysByServer = new Map<ServerId, readonly KeyRate[]>();
  #shardCounts: number[];
  #updatedAtMs: number;

  constructor(
    nowMs: number,
    options: {
      readonly shardCount: number;
      readonly shardOf: (key: string) => number;
    },
  ) {
    this.#shardOf = options.shardOf;
    this.#estimator = new RateEstimator(options.shardCount);
    this.#shardCounts = Array(options.shardCount).fill(0);
    this.#updatedAtMs = nowMs;
  }

  /** Adds the counts of one observation of a server by its home. */
  record(observation: ServerObservation): void {
    for (const { shard, completedCount } of observation.shardCounts ?? []) {
      const count = this.#shardCounts[shard];
      if (count !== undefined) {
        this.#shardCounts[shard] = count + completedCount;
      }
    }
    this.#hotKeysByServer.set(observation.serverId, observation.hotKeys);
  }

  /** Removes the hot keys of servers that are no longer listed. */
  retainServers(serverIds: ReadonlySet<ServerId>): void {
    for (const serverId of this.#hotKeysByServer.keys()) {
      if (!serverIds.has(serverId)) this.#hotKeysByServer.delete(serverId);
    }
  }

  /** Updates the rates from the counts recorded since the last call. */
  update(nowMs: number): void {
    const intervalMs = nowMs - this.#updatedAtMs;
    if (intervalMs <= 0) return;
    this.#updatedAtMs = nowMs;
    const shardCounts = this.#shardCounts;
    this.#shardCounts = shardCounts.map(() => 0);
    this.#estimator.update({
      intervalMs,
      shardCounts,
      keyCounts: this.#countKeys(intervalMs),
    });
  }

  /** Uses the highest rate of a key, which two servers report if it moved. */
  #countKeys(intervalMs: number): readonly KeyCount[] {
    const rates = new Map<string, number>();
    for (const hotKeys of this.#hotKeysByServer.values()) {
      for (const { key, requestsPerSecond } of hotKeys) {
        rates.set(key, Math.max(rates.get(key) ?? 0, requestsPerSecond));
      }
    }
    return [...rates].map(([key, rate]) => ({
      key,
      shard: this.#shardOf(key),
      count: rate * intervalMs / millisecondsPerSecond,
    }));
  }

  /** Requests per second of each shard, hot keys excluded. */
  shardRates(): readonly number[] {
    return this.#estimator.shardRates();
  }

  /** The most requested keys, highest first. */
  hotKeys(): readonly KeyRate[] {
    return this.#estimator.hotKeys();
  }
}
