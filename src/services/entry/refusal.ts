/**
 * Encodes refusals for callers: a stable code, whether the request may have
 * run, and no addresses or other internals of the system.
 */
import type { ServerResponse } from "node:http";
import {
  formatPublicMessage,
  MessageCode,
} from "../../diagnostics/messages.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import type { RouterError } from "../../types/errors.ts";
import type { Refusal } from "./refusal_schema.ts";

/** Header of an answer that identifies the request. */
export const requestIdHeader = "skylark-request-id";
const outcomeHeader = "skylark-outcome";
const millisecondsPerSecond = 1_000;
const statusBadGateway = 502;

/** A refusal as an HTTP answer. */
export interface EncodedRefusal {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Encodes the failure of the request `requestId`. */
export function encodeRefusal(
  failure: RouterError,
  requestId: string,
): EncodedRefusal {
  const body = `${JSON.stringify(createRefusalBody(failure, requestId))}\n`;
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

function createRefusalBody(failure: RouterError, requestId: string): Refusal {
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

/** Answers with the failure; destroys the connection if an answer has begun. */
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

/** Returns the HTTP status of a code; 502 when `statusByCode` lacks it. */
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
