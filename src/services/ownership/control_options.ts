/** Settings of the ownership service and the durations derived from them. */
import type { ServiceDefinition } from "../../types/types.ts";
import type { Placement } from "./placement.ts";

/** Settings of the ownership service. */
export interface ControlOptions {
  readonly region: string;
  readonly definitions: readonly ServiceDefinition[];
  readonly placement: Placement;
  /** Interval between two syncs of a daemon with its parent. */
  readonly syncIntervalMs: number;
  readonly permitDurationMs: number;
  /** How long a lease row, or a majority's confirmation, counts. */
  readonly leaseDurationMs: number;
}

/**
 * Time by which a permit may outlast the coordinator's authority at the moment
 * it was given. A successor waits this long before it replaces a lost home.
 */
export const permitOverhangMs = 1_300;
/** Interval at which the coordinator looks for something to decide. */
export const decisionIntervalMs = 100;
/** Interval at which a daemon that may take over reads the lease row. */
export const watchIntervalMs = 150;
/** Time after which a call to a peer is given up. */
export const callTimeoutMs = 400;
/** Syncs that a daemon may miss before it counts as lost. */
export const missedSyncLimit = 3;
/** Time after which a silent daemon leaves the members. */
export const memberForgetMs = 10_000;
/** Time for the daemons of a new region to arrive before it is assigned. */
export const firstAssignmentDelayMs = 600;
/** Interval between two challenges of a daemon, and between two looks at them. */
export const challengeIntervalMs = 400;
/** Time for which a daemon that resigned does not claim the lease again. */
export const yieldDurationMs = 3_000;
/** Daemons, by rank among the members, that watch the lease row. */
export const watcherCount = 3;
/** Delay between the takeover attempts of two watchers. */
export const watcherStaggerMs = 150;
/** Time that a stopping daemon waits for its servers to find a new home. */
export const drainTimeoutMs = 5_000;
