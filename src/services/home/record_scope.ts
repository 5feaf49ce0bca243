/** Derives the idempotency record of a request from the request. */
import { createHash } from "node:crypto";
import type { RoutedRequest } from "../../types/types.ts";
import type { RecordScope } from "./idempotency_records.ts";

/** The scope of a request's record; undefined when it needs none. */
export function tryCreateRecordScope(
  request: RoutedRequest,
  shard: number,
): RecordScope | undefined {
  const { service, key, customer, idempotencyKey, isIdempotent } = request;
  if (isIdempotent || idempotencyKey === undefined) return undefined;
  return { service, shard, key, customer, idempotencyKey };
}

/** Identifies the content of a request. */
export function computeFingerprint(request: RoutedRequest): string {
  return createHash("sha256")
    .update(request.method)
    .update("\n")
    .update(request.path)
    .update("\n")
    .update(request.body)
    .digest("base64");
}
