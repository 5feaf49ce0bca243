/** Errors of the delivery service, and the choice of the error that the caller gets. */
import { MessageCode } from "../../diagnostics/messages.ts";
import { AbortCause } from "../../host/deadline_signal.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";

/** State of one request across its attempts. */
export interface DeliveryProgress {
  /** Delay before the next retry. */
  delayMs: number;
  /** Whether an attempt may have run. */
  mayHaveRun: boolean;
}

/**
 * Returns the error for the caller: `OutcomeUnknown` if an earlier attempt may
 * have run, even if the last attempt did not.
 */
export function createFinalError(
  error: RouterError,
  progress: DeliveryProgress,
): RouterError {
  if (!progress.mayHaveRun) return error;
  if (error.outcome === AttemptOutcome.Unknown) return error;
  if (error.outcome === AttemptOutcome.Answered) return error;
  return new RouterError(MessageCode.OutcomeUnknown, "deliver", {
    detail: `an earlier attempt may have run; then ${error.message}`,
    outcome: AttemptOutcome.Unknown,
    cause: error,
  });
}

/** Creates the error for a spent retry budget, with the outcome of the last attempt. */
export function createBudgetSpentError(error: RouterError): RouterError {
  return new RouterError(MessageCode.RetryBudgetSpent, "deliver", {
    detail: error.message,
    outcome: error.outcome,
    cause: error,
  });
}

/** Creates the error for a home daemon that is not in the membership list. */
export function createUnknownDaemonError(daemonId: string): RouterError {
  return new RouterError(MessageCode.PeerUnreachable, "deliver", {
    peer: daemonId,
    detail: "not in the list of daemons",
  });
}

/** Creates the error for a forwarded request that was aborted before the home answered. */
export function createUnansweredError(
  daemonId: string,
  cause: AbortCause | undefined,
): RouterError {
  const code = cause === AbortCause.Deadline
    ? MessageCode.DeadlineExceeded
    : cause === AbortCause.Cancelled
    ? MessageCode.RequestCancelled
    : MessageCode.OutcomeUnknown;
  return new RouterError(code, "forward", {
    peer: daemonId,
    detail: "the home did not answer",
    outcome: AttemptOutcome.Unknown,
  });
}
