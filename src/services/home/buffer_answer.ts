/**
 * Buffers the start of an answer, so that a small answer can be stored for
 * repeats of the request even after the caller has disconnected.
 */
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { type RouterError, toRouterError } from "../../types/errors.ts";
import type { RoutedResponse } from "../../types/types.ts";
import type { StoredAnswer } from "./idempotency_records.ts";

/** Larger bodies are not stored. */
const maxStoredAnswerBytes = 16 * 1_024;

/** An answer for the caller and, if the answer is small, a copy to store. */
export interface BufferedAnswer {
  readonly response: RoutedResponse;
  readonly stored: StoredAnswer | undefined;
}

/** Reads until the answer ends or exceeds the size that is stored. */
export async function bufferAnswer(
  answer: RoutedResponse,
): Promise<Result<BufferedAnswer, RouterError>> {
  const iterator = answer.body[Symbol.asyncIterator]();
  const chunks: Uint8Array[] = [];
  let length = 0;
  try {
    for (;;) {
      const next = await iterator.next();
      if (next.done === true) break;
      chunks.push(next.value);
      length += next.value.length;
      if (length > maxStoredAnswerBytes) {
        const body = joinChunks(chunks, iterator);
        return ok({ response: { ...answer, body }, stored: undefined });
      }
    }
  } catch (error) {
    return err(toRouterError(error, MessageCode.AnswerTruncated, {
      step: "read answer",
      outcome: AttemptOutcome.Answered,
    }));
  }
  const body = Buffer.concat(chunks);
  const { status, headers } = answer;
  return ok({
    response: { ...answer, body: joinChunks([body], undefined) },
    stored: { status, headers, body },
  });
}

/**
 * Yields the buffered chunks, then the rest; closes the rest when the reader
 * stops early.
 */
async function* joinChunks(
  chunks: readonly Uint8Array[],
  rest: AsyncIterator<Uint8Array> | undefined,
): AsyncGenerator<Uint8Array> {
  try {
    yield* chunks;
    for (;;) {
      const next = await rest?.next();
      if (next === undefined || next.done === true) return;
      yield next.value;
    }
  } finally {
    await rest?.return?.();
  }
}
