/** Reads a request's body, whole where it is small. */
import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";
import { readSmallBody } from "../../streams/read_small_body.ts";

/** Bodies up to this size are kept, so that they can be sent again. */
const maxWholeBytes = 262_144;

/** Resolves with the body, if there is one; rejects when the caller broke it off. */
export async function readBody(
  request: IncomingMessage,
): Promise<Uint8Array | Readable | undefined> {
  const length = request.headers["content-length"];
  const isChunked = request.headers["transfer-encoding"] !== undefined;
  if (length === undefined && !isChunked) return undefined;
  if (Number(length ?? 0) > maxWholeBytes) return request;
  return await readSmallBody(request, maxWholeBytes);
}
