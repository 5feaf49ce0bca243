/** Reads the messages that daemons send each other, up to a maximum size. */
import type { IncomingMessage } from "node:http";

/** Maximum size of a message; its reports have one entry for each busy part of the key space and each server. */
const maxMessageBytes = 1_048_576;

/** Reads the whole body of a message; rejects when it is too large. */
export async function readBytes(message: IncomingMessage): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let byteCount = 0;
  for await (const chunk of message as AsyncIterable<Uint8Array>) {
    byteCount += chunk.length;
    if (byteCount > maxMessageBytes) throw new RangeError("message too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
