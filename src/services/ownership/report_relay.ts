/**
 * Buffers the reports of this daemon and its children until a sync delivers
 * them to the parent. A newer entry about the same daemon or release replaces
 * the older one, and observations of the same server are merged.
 */
import type { DaemonId } from "../../types/types.ts";
import type { ServerObservation, ShardCount } from "./ownership.ts";
import type {
  HeardDaemon,
  ReleaseReport,
  ReportedObservation,
  SyncReport,
} from "./sync_messages.ts";

/** The parts of a report that parents relay to the coordinator. */
export type RelayedReport = Pick<
  SyncReport,
  "heard" | "releases" | "observations"
>;

/** Buffers reports for the next sync with the parent. */
export class ReportRelay {
  #heard = new Map<DaemonId, HeardDaemon>();
  #releases = new Map<string, ReleaseReport>();
  #observations = new Map<string, ReportedObservation>();

  add(report: RelayedReport): void {
    for (const heard of report.heard) {
      this.#heard.set(heard.daemon.daemonId, heard);
    }
    for (const release of report.releases) {
      this.#releases.set(`${release.daemonId}/${release.service}`, release);
    }
    for (const observed of report.observations) this.observe(observed);
  }

  /** Adds an observation; merges it into an earlier one by the same home. */
  observe({ observerId, observation }: ReportedObservation): void {
    const observationKey = `${observerId}/${observation.serverId}`;
    const earlier = this.#observations.get(observationKey)?.observation;
    this.#observations.set(observationKey, {
      observerId,
      observation: mergeObservations(earlier, observation),
    });
  }

  /** Empties the buffer and returns its contents. */
  take(): RelayedReport {
    const taken = {
      heard: [...this.#heard.values()],
      releases: [...this.#releases.values()],
      observations: [...this.#observations.values()],
    };
    this.#heard = new Map();
    this.#releases = new Map();
    this.#observations = new Map();
    return taken;
  }

  /** Puts back the observations of a failed sync, before newer observations. */
  restore(report: RelayedReport): void {
    const newer = this.take();
    this.add({ heard: [], releases: [], observations: report.observations });
    this.add(newer);
  }
}

function mergeObservations(
  earlier: ServerObservation | undefined,
  later: ServerObservation,
): ServerObservation {
  if (earlier === undefined) return later;
  return {
    ...later,
    completedCount: earlier.completedCount + later.completedCount,
    hotKeys: later.hotKeys.length > 0 ? later.hotKeys : earlier.hotKeys,
    shardCounts: mergeShardCounts(earlier.shardCounts, later.shardCounts),
  };
}

function mergeShardCounts(
  earlier: readonly ShardCount[] = [],
  later: readonly ShardCount[] = [],
): readonly ShardCount[] {
  const counts = new Map<number, number>();
  for (const { shard, completedCount } of [...earlier, ...later]) {
    counts.set(shard, (counts.get(shard) ?? 0) + completedCount);
  }
  return [...counts].map(([shard, completedCount]) => ({
    shard,
    completedCount,
  }));
}
