/**
 * Buffers the body of a small answer, so that if the body is truncated, the
 * request can still be retried on another server, and the server's slot is free
 * however slowly the caller reads. What is buffered counts toward the caller's
 * memory until the caller has it, since callers may read nothing and a faulty
 * server may send without end.
 */
import type { IncomingAnswer } from "../../host/server_link.ts";
import type { MemoryHold } from "../../streams/body_memory.ts";
import { readSmallBody } from "../../streams/read_small_body.ts";
import type { DeliveredAnswer } from "./dispatch.ts";

/** Bodies up to this size are buffered before the caller gets any byte of the answer. */
const maxBufferedBytes = 1_048_576;

/** Reads an answer; rejects when its body is truncated. */
export async function readAnswer(
  answer: IncomingAnswer,
  memory: MemoryHold,
): Promise<DeliveredAnswer> {
  const { status, headers, endsWithConnection } = answer;
  const head = { status, headers, endsWithConnection };
  if ((answer.bodyBytes ?? 0) > maxBufferedBytes) {
    memory.addStream();
    return { ...head, body: answer.body };
  }
  const options = { maxBytes: maxBufferedBytes, memory };
  return { ...head, body: await readSmallBody(answer.body, options) };
}
