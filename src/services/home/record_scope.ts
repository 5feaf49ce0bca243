/**
 * Derives the scope and the fingerprint of an idempotency record from its
 * request.
 */
import { createHash } from "node:crypto";
import type { RoutedRequest } from "../../types/types.ts";
import type { RecordScope } from "./idempotency_records.ts";

/**
 * The scope of the request's record; undefined when the request needs no
 * record.
 */
export function tryCreateRecordScope(
  request: RoutedRequest,
  shard: number,
): RecordScope | undefined {
  const { service, key, customer, idempotencyKey, isIdempotent } = request;
  if (isIdempotent || idempotencyKey === undefined) return undefined;
  return { service, shard, key, customer, idempotencyKey };
}

/** Hashes the content of a request. */
export function computeFingerprint(request: RoutedRequest): string {
  return createHash("sha256")
    .update(request.method)
    .update("\n")
    .update(request.path)
    .update("\n")
    .update(request.body)
    .digest("base64");
}
