/** Error codes of requests that failed before they were sent. */

/** Error codes of undici that guarantee that no byte of the request was sent. */
export const notSentCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);
