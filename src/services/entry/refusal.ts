/** The form of a refusal towards callers: a stable code and what ran. */
import type { ServerResponse } from "node:http";
import { MessageCode } from "../../diagnostics/messages.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import type { RouterError } from "../../types/errors.ts";

const millisecondsPerSecond = 1_000;

/** Answers with the failure, or breaks an answer that has begun. */
export function sendRefusal(
  response: ServerResponse,
  failure: RouterError,
): void {
  if (response.headersSent) return void response.destroy();
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "skylark-outcome": failure.outcome,
  };
  if (failure.retryAfterMs !== undefined) {
    const seconds = Math.ceil(failure.retryAfterMs / millisecondsPerSecond);
    headers["retry-after"] = String(seconds);
  }
  response.writeHead(statusOf(failure), headers);
  response.end(JSON.stringify({
    code: failure.code,
    message: failure.message,
    outcome: failure.outcome,
    mayHaveRun: mayHaveRun(failure.outcome),
    limitName: failure.limitName,
    retryAfterMs: failure.retryAfterMs,
  }));
}

function mayHaveRun(outcome: AttemptOutcome): boolean {
  return outcome === AttemptOutcome.Unknown ||
    outcome === AttemptOutcome.Answered;
}

/** The HTTP status of a failure; codes not listed are a bad gateway. */
function statusOf(failure: RouterError): number {
  return statusByCode[failure.code] ?? 502;
}

const statusByCode: Partial<Record<MessageCode, number>> = {
  [MessageCode.RequestMalformed]: 400,
  [MessageCode.CustomerUnknown]: 403,
  [MessageCode.ServiceUnknown]: 404,
  [MessageCode.KeyInvalid]: 400,
  [MessageCode.BodyTooLarge]: 413,
  [MessageCode.BodyTruncated]: 400,
  [MessageCode.DeadlineExceeded]: 504,
  [MessageCode.RequestCancelled]: 499,
  [MessageCode.DaemonDraining]: 503,
  [MessageCode.NoOwner]: 503,
  [MessageCode.NotHome]: 503,
  [MessageCode.PermitLapsed]: 503,
  [MessageCode.KeyInMotion]: 503,
  [MessageCode.LimitExceeded]: 429,
  [MessageCode.Overloaded]: 503,
  [MessageCode.RetryBudgetSpent]: 503,
  [MessageCode.RepeatInProgress]: 409,
  [MessageCode.RepeatAnswerGone]: 409,
  [MessageCode.Internal]: 500,
};
