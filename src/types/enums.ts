/**
 * Enums that several modules share. Values that leave the process are strings,
 * so that logs, stored rows and messages spell them the same way.
 */

/** Priority classes of requests, highest first; the order is not configurable. */
export enum RequestClass {
  Confirmation = "confirmation",
  LiveRead = "live-read",
  Archive = "archive",
}

/** What is known about one attempt to run a request on a backend server. */
export enum AttemptOutcome {
  NotSent = "not-sent",
  RefusedUnrun = "refused-unrun",
  Answered = "answered",
  Unknown = "unknown",
}

/** Why a backend server refused a request without running it. */
export enum RefusalReason {
  Fence = "fence",
  Shedding = "shedding",
  Draining = "draining",
  StartDeadline = "start-deadline",
}

/** Whether a service's backend servers verify the fence of each request. */
export enum FencingMode {
  Checked = "checked",
  Unchecked = "unchecked",
}

/** What a VM in the platform's list runs. */
export enum VmRole {
  Daemon = "daemon",
  BackendServer = "backend-server",
}

/** State of a VM in the platform's list, which lags behind the actual state. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
}

/** State of a backend server as the router itself observes it. */
export enum BackendServerState {
  Warming = "warming",
  Live = "live",
  Draining = "draining",
  Lost = "lost",
}

/** Why a shard or key was given another owner, or a backend server another home daemon. */
export enum MoveReason {
  Initial = "initial",
  ServerJoined = "server-joined",
  ServerDraining = "server-draining",
  ServerLost = "server-lost",
  HomeLost = "home-lost",
  HomeDraining = "home-draining",
  HotKey = "hot-key",
  Rebalance = "rebalance",
}

/** Length of the window in which a customer's requests are counted against an allowance. */
export enum WindowKind {
  Burst = "burst",
  Sustained = "sustained",
}

/** Result of one conditional write to the platform's table. */
export enum WriteOutcome {
  Committed = "committed",
  Conflict = "conflict",
}

/** Life-cycle state of a daemon, as its readiness endpoint reports it. */
export enum DaemonState {
  Starting = "starting",
  Ready = "ready",
  Draining = "draining",
}

/** How up to date a daemon's lists in force are. */
export enum ListsFreshness {
  /** No lists are known; the daemon is not ready. */
  Missing = "missing",
  /** Taken from a peer; the platform has not been read since the start. */
  PossiblyStale = "possibly-stale",
  /** Read from the platform since the start. */
  Confirmed = "confirmed",
}

/** The file names of the list of plans and the list of allowances. */
export enum ListName {
  Plans = "plans.yaml",
  Allowances = "allowances.yaml",
}
