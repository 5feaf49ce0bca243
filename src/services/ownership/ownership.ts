/**
 * The contract of the ownership service: where a key is served, and whether
 * this daemon may send work to a backend server at this moment.
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

/** The right of this daemon to send work to one backend server. */
export interface HomePermit {
  readonly serverId: ServerId;
  readonly homeFence: number;
  /** Local monotonic instant at which the permit lapses. */
  readonly expiresAtMs: number;
}

/** What a home daemon observed of a backend server since its last report. */
export interface ServerObservation {
  readonly service: string;
  readonly serverId: ServerId;
  readonly state: BackendServerState;
  /** Requests completed in the reporting interval. */
  readonly completedCount: number;
  readonly queuedCount: number;
  /** The most requested keys, with their rates. */
  readonly hotKeys: readonly KeyRate[];
  /** Requests completed in the reporting interval, for each shard with any. */
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

/** The coordinator as one daemon knows it. */
export interface CoordinatorStatus {
  readonly daemonId: DaemonId;
  readonly epoch: number;
  /** Time left of the asked daemon's permit under it; 0 when it has lapsed. */
  readonly permitRemainingMs: number;
}

/** Tells whether a home still has work in flight for parts of an assignment. */
export abstract class InFlightSource {
  /**
   * True when no request that the given assignment no longer allows is in
   * flight from this daemon.
   */
  abstract isReleased(assignment: ServiceAssignment): boolean;
}

/** Locates keys and holds this daemon's permits. */
export abstract class Ownership extends Service {
  override readonly name = ServiceName.Ownership;

  /** The services that the settings define. */
  abstract definitions(): readonly ServiceDefinition[];

  /** Finds one service; undefined when it is not configured. */
  abstract tryGetDefinition(service: string): ServiceDefinition | undefined;

  /**
   * Finds the owner of a key in the assignment this daemon holds. Fails with
   * `NoOwner`, or with `KeyInMotion` while the key is being moved.
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

  /** Asks for a newer assignment soon, after a peer showed ours to be stale. */
  abstract requestRefresh(service: string): void;

  /** The permit for a server homed here; undefined when none is in force. */
  abstract tryGetPermit(serverId: ServerId): HomePermit | undefined;

  /** Registers the part of the home that knows what is in flight. */
  abstract setInFlightSource(source: InFlightSource): void;

  /** Hands over what a home observed; sent to the coordinator in time. */
  abstract observe(observation: ServerObservation): void;

  /** The coordinator; undefined while none is known. */
  coordinator(): CoordinatorStatus | undefined {
    return undefined;
  }

  /** The most recent moves that this daemon knows of, oldest first. */
  abstract history(): readonly MoveRecord[];

  /** Each assignment as it takes effect here. */
  abstract readonly changes: Stream<ServiceAssignment>;
}
