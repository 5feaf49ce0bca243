/** A caller's request with its response and connection, and refusals of the daemon. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { MemoryHold } from "../../streams/body_memory.ts";
import type { ReplayableBody } from "../../streams/replayable_body.ts";
import type { CallerConnection } from "./caller_connection.ts";

/** A caller's request with its response and connection. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: CallerConnection;
  /** Number of the request on its connection, in the order of reading. */
  readonly sequenceNumber: number;
  readonly arrivedAtMs: number;
  readonly answerMemory: MemoryHold;
  /** Undefined for a request without a body. */
  readonly body: ReplayableBody | undefined;
}

/** An answer that the daemon gives instead of a backend server. */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** Label of the metric, from a small set of causes; the status if omitted. */
  readonly cause?: string;
  readonly retryAfterMs?: number;
}
