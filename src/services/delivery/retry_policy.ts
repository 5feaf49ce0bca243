/**
 * Decides what follows a failed attempt. Only work that certainly did not run,
 * or that may run twice, is tried again; a refusal by the router's own limits
 * never is.
 */
import { MessageCode } from "../../diagnostics/messages.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { assertNever, type RouterError } from "../../types/errors.ts";
import type { RoutedRequest } from "../../types/types.ts";

/** What to do after a failed attempt. */
export enum RetryDecision {
  /** Hand the failure to the caller. */
  Stop = "stop",
  /** Wait for a newer assignment; nothing reached a backend server. */
  AwaitAssignment = "await-assignment",
  /** Back off, within the retry budget. */
  BackOff = "back-off",
}

/** Failures that another attempt cannot mend, or must not burden. */
const finalCodes: ReadonlySet<MessageCode> = new Set([
  MessageCode.LimitExceeded,
  MessageCode.Overloaded,
  MessageCode.RetryBudgetSpent,
  MessageCode.DeadlineExceeded,
  MessageCode.RequestCancelled,
  MessageCode.RequestMalformed,
  MessageCode.ServiceUnknown,
]);

/** Failures that a newer assignment mends. */
const staleCodes: ReadonlySet<MessageCode> = new Set([
  MessageCode.KeyInMotion,
  MessageCode.NotHome,
  MessageCode.NoOwner,
  MessageCode.PermitLapsed,
  MessageCode.PeerUnreachable,
  MessageCode.BackendUnreachable,
  MessageCode.DaemonDraining,
]);

/** Decides on another attempt. */
export function decideRetry(
  error: RouterError,
  request: Pick<RoutedRequest, "isIdempotent">,
): RetryDecision {
  if (finalCodes.has(error.code)) return RetryDecision.Stop;
  switch (error.outcome) {
    case AttemptOutcome.NotSent:
      return staleCodes.has(error.code)
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
