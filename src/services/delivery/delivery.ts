/**
 * The contract of the delivery service: sends an admitted request to the home
 * of the key's owner, on this daemon or a peer, and retries where that is safe.
 */
import type { Result } from "neverthrow";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RouterError } from "../../types/errors.ts";
import type { RoutedRequest, RoutedResponse } from "../../types/types.ts";

/** Delivers requests to the owner of their key. */
export abstract class Delivery extends Service {
  override readonly name = ServiceName.Delivery;

  /**
   * Delivers one request. The `outcome` of the error states whether the request
   * may have run.
   */
  abstract deliver(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<RoutedResponse, RouterError>>;

  /** Number of requests being delivered. */
  abstract inFlightCount(): number;
}
