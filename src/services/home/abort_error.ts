/** Errors of requests that were given up. */
import { MessageCode } from "../../diagnostics/messages.ts";
import { AbortCause } from "../../host/deadline_signal.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { assertNever, RouterError } from "../../types/errors.ts";
import type { QueuedRequest } from "./queued_request.ts";

/** The error of a request that was given up, by the cause. */
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
