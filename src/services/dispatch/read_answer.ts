/**
 * Reads an answer's body whole where it is small enough, so that an answer
 * that breaks off can still be replaced by another server's.
 */
import type { IncomingAnswer } from "../../host/server_link.ts";
import { readSmallBody } from "../../streams/read_small_body.ts";
import type { DeliveredAnswer } from "./dispatch.ts";

/** Bodies up to this size are read whole before the caller gets any of it. */
const maxWholeBytes = 1_048_576;

/** Resolves with the answer; rejects when its body breaks off. */
export async function readAnswer(
  answer: IncomingAnswer,
): Promise<DeliveredAnswer> {
  const { status, headers, body, endsWithConnection } = answer;
  const isLarge = (answer.bodyBytes ?? 0) > maxWholeBytes;
  return {
    status,
    headers,
    endsWithConnection,
    body: isLarge ? body : await readSmallBody(body, maxWholeBytes),
  };
}
