/**
 * Rejects an answer that belongs to another request. A backend server may echo
 * the request's identifier; when the identifier in the answer differs, the
 * answer is rejected and its connection is closed.
 */
import { err, ok } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { AbortCause, type DeadlineSignal } from "../../host/deadline_signal.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type { RoutedResponse } from "../../types/types.ts";
import type { DispatchResult } from "./queued_request.ts";

/** Header with the request's identifier, in requests and in answers. */
export const requestIdHeader = "skylark-request-id";

/** Returns the answer, or an error when the answer names another request. */
export function checkRequestId(
  answer: RoutedResponse,
  options: {
    readonly requestId: string;
    readonly peer: string;
    /** Aborted on a mismatch, so that the connection is not reused. */
    readonly abort: DeadlineSignal;
  },
): DispatchResult {
  const echoed = answer.headers[requestIdHeader];
  if (echoed === undefined || echoed === options.requestId) return ok(answer);
  options.abort.abort(AbortCause.Stopped);
  return err(
    new RouterError(MessageCode.AnswerTruncated, "match answer", {
      peer: options.peer,
      detail: "the answer belongs to another request",
      outcome: AttemptOutcome.Unknown,
    }),
  );
}
