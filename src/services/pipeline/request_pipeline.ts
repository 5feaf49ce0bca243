/**
 * The contract of the request pipeline, which serves requests independently of
 * their encoding. A front end decodes its protocol to a `RoutedRequest`,
 * passes it to `run` and encodes the result.
 */
import type { Result } from "neverthrow";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RouterError } from "../../types/errors.ts";
import type { RoutedRequest, RoutedResponse } from "../../types/types.ts";
import type { RefusalRecord } from "./refusal_history.ts";

/** What a front end could decode of a malformed request. */
export interface RejectedRequest {
  readonly requestId: string;
  readonly customer?: string;
  readonly service?: string;
  readonly key?: string;
}

/** Admits and delivers requests, records their metrics, and keeps recent refusals. */
export abstract class RequestPipeline extends Service {
  override readonly name = ServiceName.RequestPipeline;

  /**
   * Serves one request within its deadline. The `outcome` of the error states
   * whether the request may have run. The caller must consume the response's
   * body or abort `signal`.
   */
  abstract run(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<RoutedResponse, RouterError>>;

  /** Records a malformed request that a front end could not decode. */
  abstract reject(rejected: RejectedRequest, failure: RouterError): void;

  /** Number of in-flight requests, from `run` to the last byte of the answer. */
  abstract inFlightCount(): number;

  /** Finds a recent refusal by the request identifier that the caller received. */
  abstract tryFindRefusal(requestId: string): RefusalRecord | undefined;
}
