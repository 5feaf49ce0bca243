/**
 * Maps the cause of an aborted request to the error that its caller receives.
 */
import { MessageCode } from "../../diagnostics/messages.ts";
import { AbortCause } from "../../host/deadline_signal.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { assertNever, RouterError } from "../../types/errors.ts";
import type { QueuedRequest } from "./queued_request.ts";

/** Creates the error of an aborted request from the cause of the abort. */
export function createAbortError(
  entry: Pick<QueuedRequest, "abort" | "location">,
  outcome: AttemptOutcome,
): RouterError {
  const peer = entry.location.server.serverId;
  const cause = entry.abort.cause ?? AbortCause.Deadline;
  switch (cause) {
    case AbortCause.Cancelled:
      return new RouterError(MessageCode.RequestCancelled, "send", {
        peer,
        outcome,
      });
    case AbortCause.Deadline:
      return new RouterError(MessageCode.DeadlineExceeded, "send", {
        peer,
        detail: outcome === AttemptOutcome.NotSent ? "queued" : "sent",
        outcome,
      });
    case AbortCause.Moved:
    case AbortCause.Stopped:
      return new RouterError(MessageCode.OutcomeUnknown, "send", {
        peer,
        detail: cause,
        outcome,
      });
    default:
      return assertNever(cause);
  }
}
