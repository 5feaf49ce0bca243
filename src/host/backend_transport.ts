/**
 * The contract of the transport to backend servers: requests, health checks
 * and grants of shard ownership. Only the home daemon of a backend server
 * connects to it.
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

/** Health and load as a backend server reports them; may be out of date or wrong. */
export interface BackendReport {
  readonly isHealthy: boolean;
  readonly isDraining: boolean;
  readonly isWarm: boolean;
  /** Requests running on the server. */
  readonly busySlots: number;
}

/** Permission for a backend server to serve a set of shards and hot keys. */
export interface BackendGrant {
  readonly service: string;
  readonly shards: readonly number[];
  readonly keys: readonly string[];
  readonly fence: number;
  /** How long the server may keep the grant without a renewal. */
  readonly grantDurationMs: number;
}

/** Sends requests, health checks and grants to backend servers. */
export abstract class BackendTransport extends Service {
  override readonly name = ServiceName.BackendTransport;

  /**
   * Sends a request once. The `outcome` of the error states whether the request
   * may have run. `startBeforeWallMs` is the wall time after which a server
   * that honours deadlines must refuse to start the request.
   */
  abstract send(
    request: RoutedRequest,
    location: KeyLocation,
    options: {
      readonly signal: AbortSignal;
      readonly startBeforeWallMs: number;
    },
  ): Promise<Result<RoutedResponse, RouterError>>;

  /** Queries the health and load of a server. */
  abstract checkHealth(
    server: AssignedServer,
    signal: AbortSignal,
  ): Promise<Result<BackendReport, RouterError>>;

  /** Grants or renews ownership; the server refuses a fence lower than it has seen. */
  abstract grant(
    server: AssignedServer,
    grant: BackendGrant,
    signal: AbortSignal,
  ): Promise<Result<void, RouterError>>;

  /** Revokes ownership of the shards and keys of `grant`. */
  abstract revoke(
    server: AssignedServer,
    grant: BackendGrant,
    signal: AbortSignal,
  ): Promise<Result<void, RouterError>>;

  /** Closes the connections to a server whose home is no longer this daemon. */
  abstract closeConnections(server: AssignedServer): Promise<void>;
}
