/** What undici reports when a connection failed before anything was sent. */

/** Codes that undici reports when no byte of the request was sent. */
export const notSentCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);
