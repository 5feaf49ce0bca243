/** The contract of the admission service, which enforces the allowances. */
import type { Result } from "neverthrow";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RequestClass, WindowKind } from "../../types/enums.ts";
import type { RouterError } from "../../types/errors.ts";
import type { RoutedRequest } from "../../types/types.ts";

/** Permission to deliver one request. */
export interface AdmissionTicket {
  /** Order of shedding under overload: the highest rank is shed last. */
  readonly planRank: number;
  /**
   * Refunds the charge of a request that reached no backend server. Only the
   * first call has an effect.
   */
  refund(): void;
}

/** Use of one limit, as far as this daemon knows. */
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
   * Charges the customer's allowance. Fails with `ListsMissing` when no lists
   * are known, with `CustomerUnknown`, or with `LimitExceeded`, the name of the
   * limit and, where a retry can succeed, the delay before a retry.
   */
  abstract admit(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<AdmissionTicket, RouterError>>;

  /** Returns the limits of the accounts that were used recently. */
  abstract status(): readonly LimitStatus[];
}
