/** Creates the body of a request, of which the start is held for a retry. */
import type { IncomingMessage } from "node:http";
import type { BodyMemory } from "../../streams/body_memory.ts";
import { ReplayableBody } from "../../streams/replayable_body.ts";

/** Longest start of a body that is held, so that a retry can send it again. */
const maxHeldBytes = 262_144;

/** Creates the body of a request; undefined if the request has none. */
export function createBody(
  request: IncomingMessage,
  options: { readonly maxBytes: number; readonly memory: BodyMemory },
): ReplayableBody | undefined {
  const { headers } = request;
  const length = headers["content-length"];
  const isChunked = headers["transfer-encoding"] !== undefined;
  if (length === undefined && !isChunked) return undefined;
  return new ReplayableBody({
    ...options,
    source: request,
    statedBytes: isChunked ? undefined : Number(length),
    maxHeldBytes,
  });
}
