/**
 * The contract of the request pipeline: everything a front end needs to have a
 * request served, free of any encoding. A front end translates its protocol to
 * a `RoutedRequest`, runs it here, and translates the result back.
 */
import type { Result } from "neverthrow";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RouterError } from "../../types/errors.ts";
import type { RoutedRequest, RoutedResponse } from "../../types/types.ts";
import type { RefusalRecord } from "./refusal_history.ts";

/** What a front end knows of a request that it could not form. */
export interface RejectedRequest {
  readonly requestId: string;
  readonly customer?: string;
  readonly service?: string;
  readonly key?: string;
}

/** Admits, delivers, accounts for, and explains requests. */
export abstract class RequestPipeline extends Service {
  override readonly name = ServiceName.RequestPipeline;

  /**
   * Serves one request within its deadline. The error's outcome tells whether
   * the request may have run. The response's body must be consumed, or
   * `signal` aborted.
   */
  abstract run(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<RoutedResponse, RouterError>>;

  /** Accounts for input that never became a request. */
  abstract reject(rejected: RejectedRequest, failure: RouterError): void;

  /** Requests between `run` and the last byte of their answers. */
  abstract inFlightCount(): number;

  /** Finds a recent refusal by the identifier that the caller received. */
  abstract tryFindRefusal(requestId: string): RefusalRecord | undefined;
}
