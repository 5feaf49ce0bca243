/** One request of a caller, and the connection it came on. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerConnection } from "./caller_connection.ts";

/** One request and its answer. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: CallerConnection;
  /** The request's place among those of its connection. */
  readonly place: number;
  readonly arrivedAtMs: number;
}

/** An answer on the daemon's own behalf. */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** One of a few causes, for the counter; the status when omitted. */
  readonly cause?: string;
  readonly retryAfterMs?: number;
}
