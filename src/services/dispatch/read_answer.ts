/**
 * Buffers the body of a small answer, so that if the body is truncated, the
 * request can still be retried on another server.
 */
import type { IncomingAnswer } from "../../host/server_link.ts";
import { readSmallBody } from "../../streams/read_small_body.ts";
import type { DeliveredAnswer } from "./dispatch.ts";

/** Bodies up to this size are buffered before the caller gets any byte of the answer. */
const maxBufferedBytes = 1_048_576;

/** Resolves with the answer; rejects when its body is truncated. */
export async function readAnswer(
  answer: IncomingAnswer,
): Promise<DeliveredAnswer> {
  const { status, headers, body, endsWithConnection } = answer;
  const isLarge = (answer.bodyBytes ?? 0) > maxBufferedBytes;
  return {
    status,
    headers,
    endsWithConnection,
    body: isLarge ? body : await readSmallBody(body, maxBufferedBytes),
  };
}
