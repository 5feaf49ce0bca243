/** Records the executions of a stand-in; tests read them at `/-/log`. */
import type { ReceivedRequest } from "./received_request.ts";

/** One execution of a request. */
export interface ExecutionRecord {
  readonly serverId: string;
  readonly service: string;
  readonly key: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly fence: number;
  readonly startedWallMs: number;
  /** 0 until the execution has finished. */
  finishedWallMs: number;
  /** Whether the caller disconnected during the execution. */
  isCancelled: boolean;
}

/** Holds the executions in the order of their starts. */
export class ExecutionLog {
  readonly records: ExecutionRecord[] = [];
  readonly #serverId: string;

  constructor(serverId: string) {
    this.#serverId = serverId;
  }

  /** Records the start of an execution. */
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
