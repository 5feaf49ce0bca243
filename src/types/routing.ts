/**
 * Types of the routing configuration, and of the backend servers to which
 * requests are sent.
 */

/** Whether requests may be repeated, and whether large answers are expected. */
export enum RequestKind {
  /** May run more than once. */
  Idempotent = "idempotent",
  /** May run at most once. */
  NonIdempotent = "non-idempotent",
  /** Idempotent, with large answers, for which servers of the same zone are strongly preferred. */
  Download = "download",
  /** May run at most once, with large bodies. */
  Upload = "upload",
}

/** One of the services among which a route's requests are divided. */
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
  /** Maximum time from the arrival of a request to its final answer. */
  readonly timeoutMs: number;
  /** Latency objective: later answers are worth less to the caller. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of backend servers to which one request is sent. */
  readonly maxAttempts: number;
  /** Empty when the operator's entry cannot be used; its requests are refused. */
  readonly targets: readonly RouteTarget[];
}

/** A group of backend servers that run the same software. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one backend server accepts from the whole fleet. */
  readonly maxConnections: number;
  /** Whether each key is owned by exactly one backend server. */
  readonly isSharded: boolean;
  /** Requests that a cold backend server takes in a second from the whole fleet; undefined if it takes all. */
  readonly coldRequestsPerSecond?: number;
}

/** Size limits and timeouts for callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Limits that apply where the configuration sets none. */
export const defaultCallerLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 67_108_864,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** One version of the routing configuration. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
}

/** The registration of a backend server. */
export interface ServerEntry {
  readonly id: string;
  /** Wall time of the process's start; distinguishes the incarnations of a server. */
  readonly bornAtMs: number;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly zone: string;
  readonly slotCount: number;
  readonly isDraining: boolean;
  /** How much longer the server was cold when it wrote the entry. */
  readonly coldLeftMs?: number;
  /** Version of the row of the entry; rises with each change. */
  readonly rowVersion?: number;
}

/** Load of a backend server, which the server reports with its answers. */
export interface ServerLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly slotCount: number;
}

/** The number of keys of a sharded service; keys are 0 to `keyCount - 1`. */
export const keyCount = 65_536;

/** An interval of keys that includes both ends. */
export interface KeyInterval {
  readonly first: number;
  readonly last: number;
}

/** Identifies one incarnation of a backend server. */
export function incarnationOf(
  server: Pick<ServerEntry, "id" | "bornAtMs">,
): string {
  return `${server.id}@${server.bornAtMs}`;
}
