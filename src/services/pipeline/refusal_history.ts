/** A bounded memory of recent refusals, for the operators' tool. */
import type { RouterError } from "../../types/errors.ts";
import type { RejectedRequest } from "./request_pipeline.ts";

/** One refusal, with everything that is known about its cause. */
export interface RefusalRecord extends RejectedRequest {
  readonly wallTimeMs: number;
  readonly failure: RouterError;
  /** Version of the lists that were in force; undefined before the first. */
  readonly listsVersion: number | undefined;
}

/** Keeps the most recent refusals. */
export class RefusalHistory {
  readonly #records = new Map<string, RefusalRecord>();
  readonly #capacity: number;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Adds a refusal and forgets the oldest beyond the capacity. */
  add(record: RefusalRecord): void {
    this.#records.delete(record.requestId);
    this.#records.set(record.requestId, record);
    if (this.#records.size <= this.#capacity) return;
    const [oldestId] = this.#records.keys();
    if (oldestId !== undefined) this.#records.delete(oldestId);
  }

  /** Finds a refusal; undefined when it is unknown or forgotten. */
  tryFind(requestId: string): RefusalRecord | undefined {
    return this.#records.get(requestId);
  }

  /** Refusals held now. */
  get size(): number {
    return this.#records.size;
  }
}
