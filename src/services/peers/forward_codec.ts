/**
 * The encoding of requests that daemons forward to each other: the request's
 * metadata in one header, its body as the HTTP body. A deadline is sent as the
 * remaining time, so that the daemons' clocks need not be synchronized.
 */
import { z } from "zod";
import { RequestClass } from "../../types/enums.ts";
import type { RoutedRequest } from "../../types/types.ts";

/** Path on the peer listener that accepts forwarded requests. */
export const forwardPath = "/forward";
/** Maximum size of a message of a control call between daemons. */
export const maxControlMessageBytes = 16 * 1_048_576;
/** Header with the metadata of a forwarded request. */
export const forwardHeader = "skylark-forward";
/** Header with the encoded failure in the answer to a forwarded request. */
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

/** Encodes the metadata of a request: everything but the body. */
export function encodeForward(request: RoutedRequest, nowMs: number): string {
  const { body: _body, deadlineAtMs, ...metadata } = request;
  const envelope = { ...metadata, remainingMs: deadlineAtMs - nowMs };
  return Buffer.from(JSON.stringify(envelope)).toString("base64url");
}

/** Decodes a forwarded request; throws when it is malformed. */
export function decodeForward(
  header: string,
  options: { readonly body: Uint8Array; readonly nowMs: number },
): RoutedRequest {
  const json = JSON.parse(Buffer.from(header, "base64url").toString("utf8"));
  const { remainingMs, ...metadata } = envelopeSchema.parse(json);
  return {
    ...metadata,
    idempotencyKey: metadata.idempotencyKey,
    body: options.body,
    deadlineAtMs: options.nowMs + remainingMs,
  };
}
