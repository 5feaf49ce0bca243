/** Reads the headers that the router adds to a request. */
import type { IncomingMessage } from "node:http";

/** A request as the router describes it. */
export interface ReceivedRequest {
  readonly service: string;
  readonly key: string;
  readonly shard: string;
  readonly fence: number;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly url: string;
  /** Wall time after which the request must not start; 0 for none. */
  readonly startBeforeWallMs: number;
}

export function readReceivedRequest(request: IncomingMessage): ReceivedRequest {
  return {
    service: readHeader(request, "skylark-service"),
    key: decodeURIComponent(readHeader(request, "skylark-key")),
    shard: readHeader(request, "skylark-shard"),
    fence: Number(readHeader(request, "skylark-fence")),
    requestId: readHeader(request, "skylark-request-id"),
    idempotencyKey: readHeader(request, "idempotency-key"),
    method: request.method ?? "",
    url: request.url ?? "",
    startBeforeWallMs: Number(
      readHeader(request, "skylark-start-before-wall-ms"),
    ),
  };
}

function readHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === "string" ? value : "";
}
