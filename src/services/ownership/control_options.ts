/** Settings, intervals and limits of the ownership service. */
import type { ServiceDefinition } from "../../types/types.ts";
import type { Placement } from "./placement.ts";

/** Settings that the daemon's configuration supplies. */
export interface ControlOptions {
  readonly region: string;
  readonly definitions: readonly ServiceDefinition[];
  readonly placement: Placement;
  /** Interval between two syncs of a daemon with its parent. */
  readonly syncIntervalMs: number;
  readonly permitDurationMs: number;
  /** How long a lease row, or the confirmation of a majority, is valid. */
  readonly leaseDurationMs: number;
}

/**
 * Time by which a permit may outlast the authority that the coordinator had
 * when it granted the permit. A new coordinator waits this long before it
 * replaces a lost home.
 */
export const permitOverrunMs = 1_300;
/** Interval at which the coordinator plans the rows and members. */
export const decisionIntervalMs = 100;
/** Interval at which a watcher polls the lease row. */
export const watchIntervalMs = 150;
/** Timeout of a call to a peer. */
export const peerCallTimeoutMs = 400;
/** Syncs that a daemon may miss before it counts as lost. */
export const missedSyncLimit = 3;
/** Time without a report after which a daemon is removed from the members. */
export const memberTimeoutMs = 10_000;
/** Delay of the first assignment of a region, so that its daemons can start. */
export const firstAssignmentDelayMs = 600;
/**
 * Interval at which a daemon writes challenges, and at which the coordinator
 * reads them.
 */
export const challengeIntervalMs = 400;
/** Time during which a daemon that resigned doesn't claim the lease again. */
export const leaseReclaimDelayMs = 3_000;
/** Number of members, lowest rank first, that watch the lease row. */
export const watcherCount = 3;
/** Delay between the takeover attempts of watchers of successive ranks. */
export const watcherStaggerMs = 150;
/** Longest time that a stopping daemon waits for new homes of its servers. */
export const drainTimeoutMs = 5_000;
