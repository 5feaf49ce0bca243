/** Counts the requests of each shard of one backend server. */
import type { ShardCount } from "../ownership/ownership.ts";

/** Counts the requests since the last report. */
export class ShardCounter {
  readonly #counts = new Map<number, number>();

  add(shard: number): void {
    this.#counts.set(shard, (this.#counts.get(shard) ?? 0) + 1);
  }

  /** Returns the counts of the shards that had requests, and resets them. */
  takeCounts(): ShardCount[] {
    const counts = [...this.#counts].map(([shard, completedCount]) => ({
      shard,
      completedCount,
    }));
    this.#counts.clear();
    return counts;
  }
}
