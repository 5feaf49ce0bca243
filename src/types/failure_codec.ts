/** Carries a `RouterError` between processes as JSON. */
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

/** Encodes a failure. */
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

/** Decodes a failure; undefined when the text is not one. */
export function tryDecodeFailure(text: string): RouterError | undefined {
  try {
    const { code, step, ...facts } = failureSchema.parse(JSON.parse(text));
    return new RouterError(code, step, definedOnly(facts));
  } catch {
    return undefined;
  }
}

/** Drops keys whose value is undefined. */
function definedOnly<T extends object>(facts: T): T {
  const entries = Object.entries(facts).filter(([, v]) => v !== undefined);
  return Object.fromEntries(entries) as T;
}
