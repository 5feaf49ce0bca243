/**
 * The contract of the home service: the one place from which a backend server
 * receives work. The queue in front of a server's slots stands here.
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

/** Figures about one backend server homed here. */
export interface HomedServerStatus {
  readonly service: string;
  readonly serverId: ServerId;
  readonly state: BackendServerState;
  readonly queuedCount: number;
  readonly inFlightCount: number;
  readonly slotLimit: number;
  readonly permitRemainingMs: number;
}

/** Queues, dispatches and completes the work of the servers homed here. */
export abstract class Home extends Service {
  override readonly name = ServiceName.Home;

  /**
   * Runs one request on its owner. Fails with `NotHome` and outcome `NotSent`
   * when this daemon is not the home of the owner, so the caller can refresh
   * its assignment and try elsewhere. The response body must be consumed or
   * `signal` aborted, or the slot stays taken.
   */
  abstract dispatch(
    request: RoutedRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<Result<RoutedResponse, RouterError>>;

  /** Figures about every server homed here. */
  abstract status(): readonly HomedServerStatus[];
}
