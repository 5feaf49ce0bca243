/** Reads a small body into memory and leaves a large one as a stream. */
import { Readable } from "node:stream";

/** Resolves with all bytes, or with a stream of them when there are more than `maxBytes`; rejects when the body ends prematurely. */
export async function readSmallBody(
  body: Readable,
  maxBytes: number,
): Promise<Uint8Array | Readable> {
  const chunks: Uint8Array[] = [];
  let byteCount = 0;
  const iterator = body[Symbol.asyncIterator]();
  for (;;) {
    const next = await iterator.next();
    if (next.done === true) break;
    chunks.push(next.value);
    byteCount += next.value.length;
    if (byteCount <= maxBytes) continue;
    const rest = { [Symbol.asyncIterator]: () => iterator };
    return Readable.from(concatenate(chunks, rest));
  }
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}

async function* concatenate(
  chunks: readonly Uint8Array[],
  rest: AsyncIterable<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  yield* chunks;
  yield* rest;
}
