/**
 * Recognises an answer that belongs to another request: a backend server
 * echoes the request's identifier, and an answer with another one is refused
 * and its connection closed.
 */
import { err, ok } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { AbortCause, type DeadlineSignal } from "../../host/deadline_signal.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type { RoutedResponse } from "../../types/types.ts";
import type { DispatchResult } from "./queued_request.ts";

/** Header that carries a request's identifier both ways. */
export const requestIdHeader = "skylark-request-id";

/** Passes the answer on unless it names another request. */
export function checkRequestId(
  answer: RoutedResponse,
  options: {
    readonly requestId: string;
    readonly peer: string;
    /** Aborted, so that the connection is not used again. */
    readonly abort: DeadlineSignal;
  },
): DispatchResult {
  const echoed = answer.headers[requestIdHeader];
  if (echoed === undefined || echoed === options.requestId) return ok(answer);
  options.abort.abort(AbortCause.Stopped);
  return err(
    new RouterError(MessageCode.AnswerBroken, "match answer", {
      peer: options.peer,
      detail: "the answer belongs to another request",
      outcome: AttemptOutcome.Unknown,
    }),
  );
}
