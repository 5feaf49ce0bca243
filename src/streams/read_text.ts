/** Reads the text of a whole body whose length is bounded. */

/** Reads a body to its end; rejects, and ends the body, when it is longer than `maxBytes`. */
export async function readText(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let byteCount = 0;
  for await (const chunk of body) {
    byteCount += chunk.length;
    if (byteCount > maxBytes) {
      throw new RangeError(`more than ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
