/**
 * Connections to backend servers: requests, probes and grants. One home
 * daemon holds all connections to a server.
 */
import type { Result } from "neverthrow";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { RouterError } from "../types/errors.ts";
import type {
  AssignedServer,
  KeyLocation,
  RoutedRequest,
  RoutedResponse,
} from "../types/types.ts";

/** What a backend server says of itself; it lags and may mislead. */
export interface BackendReport {
  readonly isHealthy: boolean;
  readonly isDraining: boolean;
  readonly isWarm: boolean;
  /** Requests running on the server. */
  readonly busySlots: number;
}

/** The right to serve a set of shards, given to a backend server. */
export interface BackendGrant {
  readonly service: string;
  readonly shards: readonly number[];
  readonly keys: readonly string[];
  readonly fence: number;
  /** How long the server may keep the grant without a renewal. */
  readonly grantDurationMs: number;
}

/** Reaches backend servers. */
export abstract class BackendTransport extends Service {
  override readonly name = ServiceName.BackendTransport;

  /**
   * Runs one attempt. The error's outcome tells whether the request may have
   * run. `startBeforeWallMs` is the wall time after which a server that
   * honours deadlines must refuse to start the request.
   */
  abstract send(
    request: RoutedRequest,
    location: KeyLocation,
    options: {
      readonly signal: AbortSignal;
      readonly startBeforeWallMs: number;
    },
  ): Promise<Result<RoutedResponse, RouterError>>;

  /** Asks for health and load. */
  abstract probe(
    server: AssignedServer,
    signal: AbortSignal,
  ): Promise<Result<BackendReport, RouterError>>;

  /** Gives or renews ownership; the server refuses a lower fence. */
  abstract grant(
    server: AssignedServer,
    grant: BackendGrant,
    signal: AbortSignal,
  ): Promise<Result<void, RouterError>>;

  /** Withdraws ownership of the shards and keys of `grant`. */
  abstract revoke(
    server: AssignedServer,
    grant: BackendGrant,
    signal: AbortSignal,
  ): Promise<Result<void, RouterError>>;

  /** Closes the connections to a server that is no longer homed here. */
  abstract forget(server: AssignedServer): Promise<void>;
}
