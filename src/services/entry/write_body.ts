/** Streams a body to an HTTP response with back-pressure. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";

/**
 * Writes all chunks and ends the response. When the body fails, destroys the
 * connection, so that the receiver can't take a truncated answer for complete.
 */
export async function writeBody(
  response: ServerResponse,
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  try {
    for await (const chunk of body) {
      if (response.destroyed) return;
      if (!response.write(chunk)) await waitForDrain(response);
    }
    response.end();
  } catch (error) {
    response.destroy();
    throw error;
  }
}

/** Resolves when the response is finished or its connection is closed. */
export function waitUntilClosed(response: ServerResponse): Promise<void> {
  if (response.closed) return Promise.resolve();
  return new Promise((resolve) => response.once("close", () => resolve()));
}

async function waitForDrain(response: ServerResponse): Promise<void> {
  const settled = new AbortController();
  const { signal } = settled;
  await Promise.race([
    once(response, "drain", { signal }),
    once(response, "close", { signal }),
  ]).finally(() => settled.abort());
}
