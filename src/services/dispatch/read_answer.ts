/**
 * Reads an answer's body whole where it is small enough, so that an answer
 * that breaks off can still be replaced by another server's.
 */
import { Readable } from "node:stream";
import type { IncomingAnswer } from "../../host/server_link.ts";
import type { DeliveredAnswer } from "./dispatch.ts";

/** Bodies up to this size are read whole before the caller gets any of it. */
const maxWholeBytes = 1_048_576;

/** Resolves with the answer; rejects when its body breaks off. */
export async function readAnswer(
  answer: IncomingAnswer,
): Promise<DeliveredAnswer> {
  const { status, headers, body, endsWithConnection } = answer;
  const head = { status, headers, endsWithConnection };
  if ((answer.bodyBytes ?? 0) > maxWholeBytes) return { ...head, body };
  const chunks: Uint8Array[] = [];
  let byteCount = 0;
  const iterator = body[Symbol.asyncIterator]();
  for (;;) {
    const next = await iterator.next();
    if (next.done === true) break;
    chunks.push(next.value);
    byteCount += next.value.length;
    if (byteCount > maxWholeBytes) {
      const rest = { [Symbol.asyncIterator]: () => iterator };
      return { ...head, body: Readable.from(join(chunks, rest)) };
    }
  }
  const whole = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
  return { ...head, body: whole };
}

async function* join(
  chunks: readonly Uint8Array[],
  rest: AsyncIterable<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  yield* chunks;
  yield* rest;
}
