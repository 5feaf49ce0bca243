/** The work a stand-in executed; the outcome checker reads it at `/-/log`. */
import type { ReceivedRequest } from "./received_request.ts";

/** One executed request. */
export interface ExecutionRecord {
  readonly serverId: string;
  readonly service: string;
  readonly key: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly fence: number;
  readonly startedWallMs: number;
  /** 0 while the request runs. */
  finishedWallMs: number;
  /** The caller went away while the request ran. */
  isCancelled: boolean;
}

/** Executed requests in the order of their start. */
export class ExecutionLog {
  readonly records: ExecutionRecord[] = [];
  readonly #serverId: string;

  constructor(serverId: string) {
    this.#serverId = serverId;
  }

  /** Notes that a request starts. */
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
