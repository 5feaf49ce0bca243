/**
 * Types of the data that services exchange; the services implement the
 * behaviour. Instants named `...AtMs` are readings of the local monotonic clock
 * unless the name contains `Wall`.
 */
import type {
  BackendServerState,
  FencingMode,
  MoveReason,
  RequestClass,
  VmRole,
  VmState,
  WindowKind,
} from "./enums.ts";

/** Identifies one run of a daemon; a restarted daemon has a new one. */
export type DaemonId = string;
export type ServerId = string;

/** An entry of the platform's list of VMs, which lags behind the actual state. */
export interface VmRecord {
  readonly vmId: string;
  readonly role: VmRole;
  readonly state: VmState;
  /** `host:port`; the peer listener of a daemon, the HTTP port of a server. */
  readonly address: string;
  readonly dataCentre: string;
  /** The service a backend server belongs to; undefined for daemons. */
  readonly service?: string;
}

/** One service that backend servers offer, as the settings define it. */
export interface ServiceDefinition {
  readonly name: string;
  readonly requestClass: RequestClass;
  readonly shardCount: number;
  readonly fencingMode: FencingMode;
  /** Requests that one backend server runs at once. */
  readonly slotsPerServer: number;
  /** Connections that one backend server accepts from the whole fleet. */
  readonly connectionsPerServer: number;
  /** Cost of moving a key, relative to the cost of its unavailable time. */
  readonly churnWeight: number;
}

/** A daemon as its peers see it. */
export interface DaemonInfo {
  readonly daemonId: DaemonId;
  readonly address: string;
  readonly dataCentre: string;
  readonly isDraining: boolean;
}

/** A backend server within an assignment. */
export interface AssignedServer {
  readonly serverId: ServerId;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: BackendServerState;
  /** The only daemon that may send requests to the server. */
  readonly homeDaemonId: DaemonId;
  /** Keeps a copy of the home's idempotency records and becomes the next home. */
  readonly standbyDaemonId: DaemonId | undefined;
  /** Increases with each change of the home. */
  readonly homeFence: number;
}

/** The owner of one hot key, which differs from the owner of its shard. */
export interface HotKeyOverride {
  readonly key: string;
  readonly serverId: ServerId;
  readonly fence: number;
}

/**
 * The committed assignment of one service, stored in one row of the platform's table.
 * `shardServers[i]` indexes `servers`, or is -1 when shard `i` has no owner.
 */
export interface ServiceAssignment {
  readonly service: string;
  /** The coordinator's epoch at the commit. */
  readonly epoch: number;
  /** Increases with each commit. */
  readonly version: number;
  /** Unique for each write, so that a writer that received no answer can recognize its own write. */
  readonly writeId: string;
  readonly servers: readonly AssignedServer[];
  readonly shardServers: readonly number[];
  readonly shardFences: readonly number[];
  readonly overrides: readonly HotKeyOverride[];
}

/** The server of a key, according to the assignment that a daemon has read. */
export interface KeyLocation {
  readonly service: string;
  readonly shard: number;
  readonly server: AssignedServer;
  /** Sent with each request; a backend server may refuse a fence lower than one it has seen. */
  readonly fence: number;
  readonly assignmentVersion: number;
}

/** An entry of the bounded history of ownership decisions. */
export interface MoveRecord {
  readonly service: string;
  readonly epoch: number;
  readonly version: number;
  readonly wallTimeMs: number;
  readonly reason: MoveReason;
  readonly fromServerId: ServerId | undefined;
  readonly toServerId: ServerId | undefined;
  readonly shardCount: number;
  readonly key: string | undefined;
}

/** A caller's request after parsing, independent of the front end. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly service: string;
  readonly key: string;
  readonly requestClass: RequestClass;
  readonly isIdempotent: boolean;
  readonly idempotencyKey: string | undefined;
  readonly method: string;
  /** Path and query as the backend server receives them. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Local monotonic instant after which the caller no longer needs the answer. */
  readonly deadlineAtMs: number;
  /** Order of shedding within a class: the highest rank is shed last. */
  readonly planRank?: number;
}

/** A backend server's answer; the body streams. */
export interface RoutedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Uint8Array>;
}

/** One allowance: `count` requests in each window of `windowMs`. */
export interface AllowanceWindow {
  readonly kind: WindowKind;
  readonly count: number;
  readonly windowMs: number;
  /** Line of the list of allowances that sets this window. */
  readonly listLine: number;
}

/** The list of plans and the list of allowances, which are accepted together under one version. */
export interface AcceptedLists {
  readonly version: number;
  /** Plan of each customer. */
  readonly planByCustomer: Readonly<Record<string, string>>;
  readonly plans: Readonly<Record<string, PlanAllowance>>;
}

/** The name, the rank and the allowances of one plan. */
export interface PlanAllowance {
  readonly name: string;
  /** Order of shedding under overload: the highest rank is shed last. */
  readonly rank: number;
  readonly allowances: Readonly<
    Partial<Record<RequestClass, readonly AllowanceWindow[]>>
  >;
}
