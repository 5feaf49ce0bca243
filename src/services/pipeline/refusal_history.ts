/** A bounded history of recent refusals, for the operators' tool. */
import type { RouterError } from "../../types/errors.ts";
import type { RejectedRequest } from "./request_pipeline.ts";

/** A refused request with the cause of the refusal. */
export interface RefusalRecord extends RejectedRequest {
  readonly wallTimeMs: number;
  readonly failure: RouterError;
  /** Version of the lists that were in force; undefined before any lists. */
  readonly listsVersion: number | undefined;
}

/** Keeps the most recent refusals. */
export class RefusalHistory {
  readonly #records = new Map<string, RefusalRecord>();
  readonly #capacity: number;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Adds a refusal; evicts the oldest one beyond the capacity. */
  add(record: RefusalRecord): void {
    this.#records.delete(record.requestId);
    this.#records.set(record.requestId, record);
    if (this.#records.size <= this.#capacity) return;
    const [oldestId] = this.#records.keys();
    if (oldestId !== undefined) this.#records.delete(oldestId);
  }

  /** Finds a refusal; undefined if it is unknown or was evicted. */
  tryFind(requestId: string): RefusalRecord | undefined {
    return this.#records.get(requestId);
  }

  /** Number of refusals in the history. */
  get size(): number {
    return this.#records.size;
  }
}
