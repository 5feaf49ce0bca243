/**
 * The contract of the delivery service: takes an admitted request to the home
 * of its owner, here or on a peer, and retries where that is safe.
 */
import type { Result } from "neverthrow";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RouterError } from "../../types/errors.ts";
import type { RoutedRequest, RoutedResponse } from "../../types/types.ts";

/** Delivers requests to the rightful owner of their key. */
export abstract class Delivery extends Service {
  override readonly name = ServiceName.Delivery;

  /** Delivers one request; the error's outcome tells whether it may have run. */
  abstract deliver(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<RoutedResponse, RouterError>>;

  /** Requests in progress. */
  abstract inFlightCount(): number;
}
