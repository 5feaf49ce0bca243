/** Admits every request; used where no lists are in force. */
import { ok, type Result } from "neverthrow";
import type { RouterError } from "../../types/errors.ts";
import type { RoutedRequest } from "../../types/types.ts";
import {
  Admission,
  type AdmissionTicket,
  type LimitStatus,
} from "./admission.ts";

/** Admits without limits. */
export class OpenAdmission extends Admission {
  override admit(
    _request: RoutedRequest,
    _signal: AbortSignal,
  ): Promise<Result<AdmissionTicket, RouterError>> {
    return Promise.resolve(ok({ planRank: 0, refund: () => {} }));
  }

  override status(): readonly LimitStatus[] {
    return [];
  }
}
