/**
 * The form of a refusal towards callers: a stable code, what ran, and nothing
 * about the inside of the system.
 */
import type { ServerResponse } from "node:http";
import {
  formatPublicMessage,
  MessageCode,
} from "../../diagnostics/messages.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import type { RouterError } from "../../types/errors.ts";
import type { Refusal } from "./refusal_schema.ts";

/** Header that names a request towards callers. */
export const requestIdHeader = "skylark-request-id";
const outcomeHeader = "skylark-outcome";
const millisecondsPerSecond = 1_000;
const statusBadGateway = 502;

/** A refusal, ready to be written. */
export interface EncodedRefusal {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Encodes a failure for the caller who received `requestId`. */
export function encodeRefusal(
  failure: RouterError,
  requestId: string,
): EncodedRefusal {
  const body = `${JSON.stringify(createRefusal(failure, requestId))}\n`;
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(body)),
    "cache-control": "no-store",
    [requestIdHeader]: requestId,
    [outcomeHeader]: failure.outcome,
  };
  if (failure.retryAfterMs !== undefined) {
    const seconds = Math.ceil(failure.retryAfterMs / millisecondsPerSecond);
    headers["retry-after"] = String(seconds);
  }
  return { status: statusOfCode(failure.code), headers, body };
}

function createRefusal(failure: RouterError, requestId: string): Refusal {
  return {
    code: failure.code,
    message: formatPublicMessage(failure.code, failure.detail),
    requestId,
    outcome: failure.outcome,
    mayHaveRun: mayHaveRun(failure.outcome),
    limitName: failure.limitName,
    retryAfterMs: failure.retryAfterMs,
  };
}

function mayHaveRun(outcome: AttemptOutcome): boolean {
  return outcome === AttemptOutcome.Unknown ||
    outcome === AttemptOutcome.Answered;
}

/** Answers with the failure, or breaks an answer that has begun. */
export function sendRefusal(
  response: ServerResponse,
  failure: RouterError,
  options: { readonly requestId: string; readonly closesConnection: boolean },
): void {
  if (response.headersSent) return void response.destroy();
  const refusal = encodeRefusal(failure, options.requestId);
  if (options.closesConnection) response.setHeader("connection", "close");
  response.writeHead(refusal.status, { ...refusal.headers });
  response.end(refusal.body);
}

/** The HTTP status of a code; codes not listed are a bad gateway. */
export function statusOfCode(code: MessageCode): number {
  return statusByCode[code] ?? statusBadGateway;
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
  [MessageCode.HeadersTooLarge]: 431,
  [MessageCode.RequestTimeout]: 408,
  [MessageCode.MethodUnsupported]: 405,
  [MessageCode.ExpectationUnsupported]: 417,
  [MessageCode.NoOwner]: 503,
  [MessageCode.NotHome]: 503,
  [MessageCode.PermitExpired]: 503,
  [MessageCode.KeyMoving]: 503,
  [MessageCode.LimitExceeded]: 429,
  [MessageCode.Overloaded]: 503,
  [MessageCode.RetryBudgetSpent]: 503,
  [MessageCode.DuplicateInProgress]: 409,
  [MessageCode.ListsMissing]: 503,
  [MessageCode.DuplicateAnswerExpired]: 409,
  [MessageCode.Internal]: 500,
};
