/**
 * Types of routing: what the operators configure, and what is known about the
 * backend servers that requests are sent to.
 */

/** What may be repeated, and how large an answer is expected to be. */
export enum RequestKind {
  /** May run more than once. */
  Idempotent = "idempotent",
  /** May run once at most. */
  NonIdempotent = "non-idempotent",
  /** Idempotent, with an answer too large to be moved between zones lightly. */
  Download = "download",
}

/** One of the services that a route's requests are divided among. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests, relative to the sum of all weights. */
  readonly weight: number;
}

/** How requests of one host and path prefix are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a request is kept without a final answer. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full value. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Backend servers that one request may be sent to, at most. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
}

/** A group of backend servers that run the same software. */
export interface ServiceDefinition {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one backend server accepts from the whole fleet. */
  readonly maxConnections: number;
  /** Each key is owned by one backend server. */
  readonly isSharded: boolean;
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of everything that operators configure. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  readonly limits: CallerLimits;
}

/** What a backend server has registered about itself. */
export interface ServerEntry {
  readonly id: string;
  /** Wall time of the process's start; tells its incarnations apart. */
  readonly bornAtMs: number;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly zone: string;
  readonly slotCount: number;
  readonly isDraining: boolean;
}

/** Load as a backend server reports it with an answer. */
export interface ServerLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly slotCount: number;
}

/** The number of keys of a sharded service; keys are 0 to `keyCount - 1`. */
export const keyCount = 65_536;

/** Consecutive keys, both ends included. */
export interface KeyInterval {
  readonly first: number;
  readonly last: number;
}

/** Names one incarnation of a backend server. */
export function incarnationOf(
  server: Pick<ServerEntry, "id" | "bornAtMs">,
): string {
  return `${server.id}@${server.bornAtMs}`;
}
