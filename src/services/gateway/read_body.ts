/** Reads the body of a request, and buffers it if it is small. */
import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";
import { readSmallBody } from "../../streams/read_small_body.ts";

/** Bodies up to this size are buffered, so that a retry can send them again. */
const maxBufferedBytes = 262_144;

/**
 * Resolves with the body, as a stream if it is large and undefined if there is
 * none; rejects if the caller disconnects before its end.
 */
export async function readBody(
  request: IncomingMessage,
): Promise<Uint8Array | Readable | undefined> {
  const length = request.headers["content-length"];
  const isChunked = request.headers["transfer-encoding"] !== undefined;
  if (length === undefined && !isChunked) return undefined;
  if (Number(length ?? 0) > maxBufferedBytes) return request;
  return await readSmallBody(request, maxBufferedBytes);
}
