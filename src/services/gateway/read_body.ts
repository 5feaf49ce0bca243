/** Reads a request's body whole where it is small, else hands it on as a stream. */
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";

/** Bodies up to this size are kept, so that they can be sent again. */
const maxWholeBytes = 262_144;

/** Resolves with the body; rejects when the caller broke it off. */
export async function readBody(
  request: IncomingMessage,
): Promise<Uint8Array | Readable | undefined> {
  const length = request.headers["content-length"];
  const isChunked = request.headers["transfer-encoding"] !== undefined;
  if (length === undefined && !isChunked) return undefined;
  if (Number(length ?? 0) > maxWholeBytes) return request;
  const chunks: Uint8Array[] = [];
  let byteCount = 0;
  const iterator = request[Symbol.asyncIterator]();
  for (;;) {
    const next = await iterator.next();
    if (next.done === true) return Buffer.concat(chunks);
    chunks.push(next.value);
    byteCount += next.value.length;
    if (byteCount <= maxWholeBytes) continue;
    const rest = { [Symbol.asyncIterator]: () => iterator };
    return Readable.from(join(chunks, rest));
  }
}

async function* join(
  chunks: readonly Uint8Array[],
  rest: AsyncIterable<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  yield* chunks;
  yield* rest;
}
