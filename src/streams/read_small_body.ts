/** Reads a small body into memory and leaves a large one as a stream. */
import { Readable } from "node:stream";
import type { MemoryHold } from "./body_memory.ts";

/**
 * Resolves with the chunks of the whole body, or with a stream of it when there
 * is more than `maxBytes` or than `memory` permits; rejects when the body ends
 * prematurely. What is in memory stays reserved: a whole body until the hold is
 * released, the start of a stream until it is consumed.
 */
export async function readSmallBody(
  body: Readable,
  { maxBytes, memory }: {
    readonly maxBytes: number;
    readonly memory: MemoryHold;
  },
): Promise<readonly Uint8Array[] | Readable> {
  const chunks: Uint8Array[] = [];
  let byteCount = 0;
  const iterator = body[Symbol.asyncIterator]();
  try {
    for (;;) {
      const next = await iterator.next();
      if (next.done === true) return chunks;
      const chunk: Uint8Array = next.value;
      chunks.push(chunk);
      byteCount += chunk.length;
      if (byteCount <= maxBytes && memory.tryReserve(chunk.length)) continue;
      memory.addStream();
      const rest = { [Symbol.asyncIterator]: () => iterator };
      const whole = Readable.from(concatenate({ chunks, rest, memory }), {
        objectMode: false,
      });
      // A reader that ends within the start has not reached the rest.
      whole.once("close", () => {
        if (!body.readableEnded) body.destroy();
      });
      return whole;
    }
  } catch (error) {
    memory.release(byteCount);
    throw error;
  }
}

async function* concatenate(
  { chunks, rest, memory }: {
    readonly chunks: Uint8Array[];
    readonly rest: AsyncIterable<Uint8Array>;
    readonly memory: MemoryHold;
  },
): AsyncGenerator<Uint8Array> {
  for (;;) {
    const chunk = chunks.shift();
    if (chunk === undefined) break;
    yield chunk;
    memory.release(chunk.length);
  }
  yield* rest;
}
