/** Records the requests that a stand-in ran; the outcome checker reads them at `/-/log`. */
import type { ReceivedRequest } from "./received_request.ts";

/** One run of a request. */
export interface ExecutionRecord {
  readonly serverId: string;
  readonly service: string;
  readonly key: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly fence: number;
  readonly startedWallMs: number;
  /** 0 until the request has finished. */
  finishedWallMs: number;
  /** The caller disconnected while the request ran. */
  isCancelled: boolean;
}

/** Holds the runs of requests in the order in which they started. */
export class ExecutionLog {
  readonly records: ExecutionRecord[] = [];
  readonly #serverId: string;

  constructor(serverId: string) {
    this.#serverId = serverId;
  }

  /** Records the start of a request. */
  start(received: ReceivedRequest): ExecutionRecord {
    const { service, key, requestId, idempotencyKey, method, fence } = received;
    const record = {
      serverId: this.#serverId,
      ...{ service, key, requestId, idempotencyKey, method, fence },
      startedWallMs: Date.now(),
      finishedWallMs: 0,
      isCancelled: false,
    };
    this.records.push(record);
    return record;
  }
}
