/**
 * The encoding of forwarded requests between daemons: the request's facts in
 * headers, its body as the HTTP body. Deadlines travel as the time remaining,
 * so that the daemons' clocks need not agree.
 */
import { z } from "zod";
import { RequestClass } from "../../types/enums.ts";
import type { RoutedRequest } from "../../types/types.ts";

/** Path of forwarded requests on the peer listener. */
export const forwardPath = "/forward";
/** Header that carries the facts of a forwarded request. */
export const forwardHeader = "skylark-forward";
/** Header that carries a failure's facts back. */
export const failureHeader = "skylark-failure";

const envelopeSchema = z.object({
  requestId: z.string(),
  customer: z.string(),
  service: z.string(),
  key: z.string(),
  requestClass: z.enum(RequestClass),
  isIdempotent: z.boolean(),
  idempotencyKey: z.string().optional(),
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  planRank: z.number().optional(),
  remainingMs: z.number(),
});

/** Encodes everything but the body. */
export function encodeForward(request: RoutedRequest, nowMs: number): string {
  const { body: _body, deadlineAtMs, ...facts } = request;
  const envelope = { ...facts, remainingMs: deadlineAtMs - nowMs };
  return Buffer.from(JSON.stringify(envelope)).toString("base64url");
}

/** Decodes a forwarded request; throws when it is malformed. */
export function decodeForward(
  header: string,
  options: { readonly body: Uint8Array; readonly nowMs: number },
): RoutedRequest {
  const json = JSON.parse(Buffer.from(header, "base64url").toString("utf8"));
  const { remainingMs, ...facts } = envelopeSchema.parse(json);
  return {
    ...facts,
    idempotencyKey: facts.idempotencyKey,
    body: options.body,
    deadlineAtMs: options.nowMs + remainingMs,
  };
}
