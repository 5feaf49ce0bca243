/**
 * The messages that daemons exchange about ownership, independent of their
 * encoding, which `sync_codec.ts` defines.
 */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";
import type { Announcement } from "../membership/membership.ts";
import type { AssignmentRow } from "./assignment_codec.ts";
import type { ServerObservation } from "./ownership.ts";

/** A daemon's view of the coordinator of an epoch and its members. */
export interface CoordinatorView {
  readonly epoch: number;
  readonly holderId: DaemonId;
  readonly membersVersion: number;
  readonly members: readonly DaemonInfo[];
}

/** A daemon that reported, directly or through its parent. */
export interface HeardDaemon {
  readonly daemon: DaemonInfo;
  /**
   * The newest token that the daemon received, in the coordinator's monotonic
   * time; undefined when the daemon confirms nothing.
   */
  readonly tokenMs: number | undefined;
}

/** A home's confirmation that a version allows all its in-flight requests. */
export interface ReleaseReport {
  readonly daemonId: DaemonId;
  readonly service: string;
  readonly version: number;
}

/** An observation and the home that made it. */
export interface ReportedObservation {
  readonly observerId: DaemonId;
  readonly observation: ServerObservation;
}

/** The version of one service's assignment that a daemon holds. */
export interface HeldVersion {
  readonly service: string;
  readonly version: number;
}

/** A daemon's report to its parent. */
export interface SyncReport {
  readonly senderId: DaemonId;
  readonly epoch: number;
  readonly membersVersion: number;
  /** The lowest epoch that the sender confirms. */
  readonly promisedEpoch: number;
  readonly held: readonly HeldVersion[];
  /** The sender and the daemons whose reports it relays. */
  readonly heard: readonly HeardDaemon[];
  readonly releases: readonly ReleaseReport[];
  readonly observations: readonly ReportedObservation[];
  readonly announcements: readonly Announcement[];
}

/** The answer of a parent, the coordinator or a candidate to a report. */
export interface SyncAnswer {
  readonly epoch: number;
  readonly holderId: DaemonId;
  readonly membersVersion: number;
  /** Undefined when the sender has the current version. */
  readonly members: readonly DaemonInfo[] | undefined;
  readonly assignments: readonly AssignmentRow[];
  /** 0 when the answering daemon may not extend the sender's permit. */
  readonly permitRemainingMs: number;
  readonly tokenMs: number | undefined;
  readonly announcements: readonly Announcement[];
}

/** A candidate's request to abandon every epoch below `epoch`. */
export interface PromiseRequest {
  readonly candidate: DaemonInfo;
  readonly epoch: number;
}

/** A member's answer to a `PromiseRequest`. */
export interface PromiseAnswer {
  readonly isPromised: boolean;
  readonly epoch: number;
  /** Time since the member last received a token of its epoch. */
  readonly tokenAgeMs: number;
}
