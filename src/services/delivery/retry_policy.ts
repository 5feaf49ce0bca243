/**
 * Decides whether a failed attempt is retried. A request is retried only if it
 * certainly did not run or is idempotent, and never if the router's own limits
 * refused it.
 */
import { MessageCode } from "../../diagnostics/messages.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { assertNever, type RouterError } from "../../types/errors.ts";
import type { RoutedRequest } from "../../types/types.ts";

/** What to do after a failed attempt. */
export enum RetryDecision {
  /** Return the failure to the caller. */
  Stop = "stop",
  /** Wait for a newer assignment; the request did not run on a backend server. */
  AwaitAssignment = "await-assignment",
  /** Retry after a backoff delay, if the retry budget allows it. */
  BackOff = "back-off",
}

/** Errors that a retry cannot resolve, or that signal load which a retry would add to. */
const nonRetryableCodes: ReadonlySet<MessageCode> = new Set([
  MessageCode.LimitExceeded,
  MessageCode.Overloaded,
  MessageCode.RetryBudgetSpent,
  MessageCode.DeadlineExceeded,
  MessageCode.RequestCancelled,
  MessageCode.RequestMalformed,
  MessageCode.ServiceUnknown,
]);

/** Errors that a newer assignment resolves. */
const staleAssignmentCodes: ReadonlySet<MessageCode> = new Set([
  MessageCode.KeyMoving,
  MessageCode.NotHome,
  MessageCode.NoOwner,
  MessageCode.PermitExpired,
  MessageCode.PeerUnreachable,
  MessageCode.BackendUnreachable,
  MessageCode.DaemonDraining,
]);

export function decideRetry(
  error: RouterError,
  request: Pick<RoutedRequest, "isIdempotent">,
): RetryDecision {
  if (nonRetryableCodes.has(error.code)) return RetryDecision.Stop;
  switch (error.outcome) {
    case AttemptOutcome.NotSent:
      return staleAssignmentCodes.has(error.code)
        ? RetryDecision.AwaitAssignment
        : RetryDecision.BackOff;
    case AttemptOutcome.RefusedUnrun:
      return error.code === MessageCode.FenceRefused
        ? RetryDecision.AwaitAssignment
        : RetryDecision.BackOff;
    case AttemptOutcome.Unknown:
      return request.isIdempotent ? RetryDecision.BackOff : RetryDecision.Stop;
    case AttemptOutcome.Answered:
      return RetryDecision.Stop;
    default:
      return assertNever(error.outcome);
  }
}
