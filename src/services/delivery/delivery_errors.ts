/** Errors of the delivery service, and the one that a caller is told. */
import { MessageCode } from "../../diagnostics/messages.ts";
import { AbortCause } from "../../host/deadline_signal.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";

/** The progress of one request through its attempts. */
export interface DeliveryProgress {
  delayMs: number;
  /** Whether an attempt may have run. */
  mayHaveRun: boolean;
}

/** An earlier attempt that may have run outweighs a later refusal. */
export function finalError(
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

/** Tells that the budget forbids another attempt, with the last outcome. */
export function createBudgetSpent(error: RouterError): RouterError {
  return new RouterError(MessageCode.RetryBudgetSpent, "deliver", {
    detail: error.message,
    outcome: error.outcome,
    cause: error,
  });
}

/** The home is not among the daemons known here. */
export function createUnlisted(daemonId: string): RouterError {
  return new RouterError(MessageCode.PeerUnreachable, "deliver", {
    peer: daemonId,
    detail: "not in the list of daemons",
  });
}

/** The home did not answer in time, or in vain. */
export function createGivenUp(
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
