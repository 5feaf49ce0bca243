/** Header handling shared by the HTTP clients and servers of the daemon. */
import type { IncomingHttpHeaders } from "node:http";

/** Headers that apply to one connection only and are not forwarded. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "host",
]);

/** Joins repeated headers and removes the hop-by-hop headers. */
export function flattenHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const flattened: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || hopByHopHeaders.has(name)) continue;
    flattened[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return flattened;
}
