/**
 * Every enum shared between modules. Values that cross a process boundary are
 * strings, so that logs, rows and messages read the same everywhere.
 */

/** Priority classes, highest first. The order is fixed and not configurable. */
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

/** The platform's view of a VM, which lags. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
}

/** The router's own view of a backend server. */
export enum BackendServerState {
  Warming = "warming",
  Live = "live",
  Draining = "draining",
  Lost = "lost",
}

/** Why a shard or key changed its owner, or a server its home daemon. */
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

/** Where a customer's allowance applies in time. */
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

/** How current the lists are that a daemon has in force. */
export enum ListsFreshness {
  /** No lists are known; the daemon is not ready. */
  Missing = "missing",
  /** Taken from a peer; the platform has not been read since the start. */
  PossiblyStale = "possibly-stale",
  /** Read from the platform since the start. */
  Confirmed = "confirmed",
}

/** The file names of the two lists. */
export enum ListName {
  Plans = "plans.yaml",
  Allowances = "allowances.yaml",
}
