/** The contract of the admission service: what each plan may use. */
import type { Result } from "neverthrow";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RequestClass, WindowKind } from "../../types/enums.ts";
import type { RouterError } from "../../types/errors.ts";
import type { RoutedRequest } from "../../types/types.ts";

/** Permission to deliver one request. */
export interface AdmissionTicket {
  /** Order of shedding under overload; the highest rank is shed last. */
  readonly planRank: number;
  /**
   * Gives the allowance back when the request reached no backend server.
   * Later calls have no effect.
   */
  refund(): void;
}

/** Use of one limit as this daemon sees it. */
export interface LimitStatus {
  readonly limitName: string;
  readonly customer: string;
  readonly requestClass: RequestClass;
  readonly windowKind: WindowKind;
  readonly allowedCount: number;
  /** The part of the allowance that this daemon may use. */
  readonly localCount: number;
  readonly usedCount: number;
}

/** Admits requests within their customer's allowance. */
export abstract class Admission extends Service {
  override readonly name = ServiceName.Admission;

  /**
   * Charges the customer's allowance. Fails with `CustomerUnknown`, or with
   * `LimitExceeded`, the limit's name and the time after which to try again.
   */
  abstract admit(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<AdmissionTicket, RouterError>>;

  /** The limits this daemon has applied. */
  abstract status(): readonly LimitStatus[];
}
