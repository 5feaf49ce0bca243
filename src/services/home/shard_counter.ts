/** Counts the requests of each shard of one backend server. */
import type { ShardCount } from "../ownership/ownership.ts";

/** Counts until the next report. */
export class ShardCounter {
  readonly #counts = new Map<number, number>();

  /** Counts one request for a key of the shard. */
  add(shard: number): void {
    this.#counts.set(shard, (this.#counts.get(shard) ?? 0) + 1);
  }

  /** Returns the shards with requests and starts to count anew. */
  take(): ShardCount[] {
    const counts = [...this.#counts].map(([shard, completedCount]) => ({
      shard,
      completedCount,
    }));
    this.#counts.clear();
    return counts;
  }
}
