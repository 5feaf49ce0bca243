/** Ends an HTTP message with a body that is completely in memory. */
import type { OutgoingMessage } from "node:http";

/** For longer bodies the copy costs more than the second write. */
const maxCopiedBytes = 16_384;

/** Passes a short body as a string, which Node combines with the headers into one buffer to write instead of two. */
export function endWithBody(
  message: OutgoingMessage,
  body: Uint8Array | undefined,
): void {
  if (body === undefined || body.length > maxCopiedBytes) {
    return void message.end(body);
  }
  const { buffer, byteOffset, byteLength } = body;
  const text = Buffer.from(buffer, byteOffset, byteLength).toString("latin1");
  message.end(text, "latin1");
}

/** Ends a message with a body in chunks; returns once they are queued, not written. */
export function endWithChunks(
  message: OutgoingMessage,
  chunks: readonly Uint8Array[],
): void {
  const byteCount = countBytes(chunks);
  if (byteCount <= maxCopiedBytes) {
    const isSingle = chunks.length === 1;
    return endWithBody(message, isSingle ? chunks[0] : Buffer.concat(chunks));
  }
  for (const chunk of chunks) message.write(chunk);
  message.end();
}

export function countBytes(chunks: readonly Uint8Array[]): number {
  return chunks.reduce((sum, { length }) => sum + length, 0);
}
