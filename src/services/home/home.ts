/**
 * The contract of the home service. Each backend server receives all its
 * requests from one home, which also keeps the queue in front of the server's
 * slots.
 */
import type { Result } from "neverthrow";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { BackendServerState } from "../../types/enums.ts";
import type { RouterError } from "../../types/errors.ts";
import type {
  RoutedRequest,
  RoutedResponse,
  ServerId,
} from "../../types/types.ts";

/** The state and load of one backend server homed here. */
export interface HomedServerStatus {
  readonly service: string;
  readonly serverId: ServerId;
  readonly state: BackendServerState;
  readonly queuedCount: number;
  readonly inFlightCount: number;
  readonly slotLimit: number;
  readonly permitRemainingMs: number;
}

/** Queues and sends requests to the backend servers homed here. */
export abstract class Home extends Service {
  override readonly name = ServiceName.Home;

  /**
   * Runs one request on the backend server that owns its key. Fails with
   * `NotHome` and outcome `NotSent` when this daemon is not the home of that
   * server, so that the caller can refresh its assignment and try another
   * daemon. The slot stays occupied until the response body is consumed or
   * `signal` aborts.
   */
  abstract dispatch(
    request: RoutedRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<Result<RoutedResponse, RouterError>>;

  /** The state and load of every server homed here. */
  abstract status(): readonly HomedServerStatus[];
}
