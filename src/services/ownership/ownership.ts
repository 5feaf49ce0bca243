/**
 * The contract of the ownership service. The service finds the backend server
 * and the home daemon of a key, and decides whether this daemon may send
 * requests to a backend server at this moment.
 */
import type { Stream } from "most";
import type { Result } from "neverthrow";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { BackendServerState } from "../../types/enums.ts";
import type { RouterError } from "../../types/errors.ts";
import type {
  DaemonId,
  KeyLocation,
  MoveRecord,
  ServerId,
  ServiceAssignment,
  ServiceDefinition,
} from "../../types/types.ts";

/** The right of this daemon to send requests to one backend server. */
export interface HomePermit {
  readonly serverId: ServerId;
  readonly homeFence: number;
  /** Local monotonic instant at which the permit expires. */
  readonly expiresAtMs: number;
}

/** State and load of a backend server since its home's previous report. */
export interface ServerObservation {
  readonly service: string;
  readonly serverId: ServerId;
  readonly state: BackendServerState;
  /** Requests completed in the reporting interval. */
  readonly completedCount: number;
  readonly queuedCount: number;
  /** The most requested keys, with their rates. */
  readonly hotKeys: readonly KeyRate[];
  /** The completed requests by shard; shards without requests are omitted. */
  readonly shardCounts?: readonly ShardCount[];
}

/** Requests of one shard in a reporting interval. */
export interface ShardCount {
  readonly shard: number;
  readonly completedCount: number;
}

/** The request rate of one key. */
export interface KeyRate {
  readonly key: string;
  readonly requestsPerSecond: number;
}

/** The coordinator that a daemon follows. */
export interface CoordinatorStatus {
  readonly daemonId: DaemonId;
  readonly epoch: number;
  /** Remaining time of this daemon's permit; 0 when it has expired. */
  readonly permitRemainingMs: number;
}

/** Knows the in-flight requests of a home to its backend servers. */
export abstract class InFlightSource {
  /**
   * Whether this daemon has no in-flight request that the given assignment no
   * longer allows.
   */
  abstract isReleased(assignment: ServiceAssignment): boolean;
}

/** Locates keys and checks this daemon's permits. */
export abstract class Ownership extends Service {
  override readonly name = ServiceName.Ownership;

  /** The services that the settings define. */
  abstract definitions(): readonly ServiceDefinition[];

  /** Undefined when the service is not configured. */
  abstract tryGetDefinition(service: string): ServiceDefinition | undefined;

  /**
   * Finds the owner of a key in the assignment this daemon holds. Fails with
   * `NoOwner`, or with `KeyMoving` while the key moves to another owner.
   */
  abstract locate(
    service: string,
    key: string,
  ): Result<KeyLocation, RouterError>;

  /** The assignment this daemon holds; undefined before the first. */
  abstract tryGetAssignment(service: string): ServiceAssignment | undefined;

  /** Resolves when a newer assignment than `version` arrives, or on abort. */
  abstract waitForNewer(
    service: string,
    version: number,
    signal: AbortSignal,
  ): Promise<void>;

  /**
   * Syncs without waiting for the interval, after an answer of a peer showed
   * that the assignment held here is stale.
   */
  abstract requestRefresh(service: string): void;

  /** The permit for a server homed here; undefined when none is in force. */
  abstract tryGetPermit(serverId: ServerId): HomePermit | undefined;

  /** Sets the source that releases are checked against. */
  abstract setInFlightSource(source: InFlightSource): void;

  /**
   * Queues an observation of a homed server for the coordinator. A changed
   * state that requires action is sent at once, any other at the sync interval.
   */
  abstract reportObservation(observation: ServerObservation): void;

  /** Undefined while no coordinator is known. */
  coordinator(): CoordinatorStatus | undefined {
    return undefined;
  }

  /** The most recent moves in the assignments held here, oldest first. */
  abstract recentMoves(): readonly MoveRecord[];

  /** Emits each newer assignment when it takes effect on this daemon. */
  abstract readonly changes: Stream<ServiceAssignment>;
}
