/**
 * The error type of the whole code base. It carries a message code, the step
 * at which it arose, the peer involved, and the outcome of the attempt, so that
 * a caller can tell whether the request or write may have taken effect.
 */
import { AttemptOutcome } from "./enums.ts";
import { formatMessage, type MessageCode } from "../diagnostics/messages.ts";

/** Optional properties of a `RouterError`. */
export interface RouterErrorOptions {
  /** The process that was called or that called: its address or identifier. */
  readonly peer?: string;
  /** Specific cause; becomes part of the error message. */
  readonly detail?: string;
  /** Whether the request or write may have taken effect; `NotSent` when omitted. */
  readonly outcome?: AttemptOutcome;
  /** Delay after which the caller may retry. */
  readonly retryAfterMs?: number;
  /** The name of the limit that refused the request. */
  readonly limitName?: string;
  readonly cause?: unknown;
}

/** A failure with its message code, step, peer and outcome. */
export class RouterError extends Error {
  readonly code: MessageCode;
  readonly step: string;
  readonly peer: string | undefined;
  readonly detail: string | undefined;
  readonly outcome: AttemptOutcome;
  readonly retryAfterMs: number | undefined;
  readonly limitName: string | undefined;

  constructor(
    code: MessageCode,
    step: string,
    options: RouterErrorOptions = {},
  ) {
    super(formatMessage(code, step, options), { cause: options.cause });
    this.name = "RouterError";
    this.code = code;
    this.step = step;
    this.peer = options.peer;
    this.detail = options.detail;
    this.outcome = options.outcome ?? AttemptOutcome.NotSent;
    this.retryAfterMs = options.retryAfterMs;
    this.limitName = options.limitName;
  }
}

/** Ends an exhaustive `switch`; throws when a value has no case. */
export function assertNever(value: never): never {
  throw new TypeError(`unexpected value: ${JSON.stringify(value)}`);
}

/** Converts anything thrown into a `RouterError`, keeping the original cause. */
export function toRouterError(
  error: unknown,
  code: MessageCode,
  options: RouterErrorOptions & { readonly step: string },
): RouterError {
  if (error instanceof RouterError) return error;
  const detail = error instanceof Error ? error.message : String(error);
  return new RouterError(code, options.step, {
    detail,
    ...options,
    cause: error,
  });
}
