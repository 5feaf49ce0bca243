/** Encodes a `RouterError` as JSON, the form in which processes exchange it, and decodes it. */
import { z } from "zod";
import { MessageCode } from "../diagnostics/messages.ts";
import { AttemptOutcome } from "./enums.ts";
import { RouterError } from "./errors.ts";

const failureSchema = z.object({
  code: z.enum(MessageCode),
  step: z.string(),
  peer: z.string().optional(),
  detail: z.string().optional(),
  outcome: z.enum(AttemptOutcome),
  retryAfterMs: z.number().optional(),
  limitName: z.string().optional(),
});

export function encodeFailure(error: RouterError): string {
  return JSON.stringify({
    code: error.code,
    step: error.step,
    peer: error.peer,
    detail: error.detail,
    outcome: error.outcome,
    retryAfterMs: error.retryAfterMs,
    limitName: error.limitName,
  });
}

/** Decodes a failure; returns undefined when the text is not an encoded failure. */
export function tryDecodeFailure(text: string): RouterError | undefined {
  try {
    const { code, step, ...properties } = failureSchema.parse(JSON.parse(text));
    return new RouterError(code, step, omitUndefined(properties));
  } catch {
    return undefined;
  }
}

/** Removes properties whose value is undefined. */
function omitUndefined<T extends object>(properties: T): T {
  const entries = Object.entries(properties).filter(([, v]) => v !== undefined);
  return Object.fromEntries(entries) as T;
}
