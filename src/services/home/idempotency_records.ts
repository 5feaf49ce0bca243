/**
 * The table of idempotency records: the state of each non-idempotent request
 * with an idempotency key, in bounded memory. A daemon holds the records of the
 * servers it is home of, and copies for the servers it is standby for. A record
 * is never evicted before it expires, because a repeat could then run twice;
 * when the table is full, new requests are refused.
 */
import type { Clock } from "../../host/clock.ts";

/** The state of a request. */
export enum RecordState {
  InProgress = "in-progress",
  Answered = "answered",
  Unknown = "unknown",
  /** The attempt did not run; sent to a standby, but never stored. */
  Forgotten = "forgotten",
}

/** Time for which a record is kept after its request arrived. */
export const idempotencyWindowMs = 120_000;

const recordCapacity = 100_000;
const answerCapacityBytes = 16 * 1_024 * 1_024;

/** An answer stored for repeats of its request. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Identifies the request that a record belongs to. */
export interface RecordScope {
  readonly service: string;
  readonly shard: number;
  readonly key: string;
  readonly customer: string;
  readonly idempotencyKey: string;
}

export interface IdempotencyRecord {
  readonly scope: RecordScope;
  /** Distinguishes attempts under the same idempotency key. */
  readonly attemptId: string;
  /**
   * Hash of the request, to detect that the key is reused for another request.
   */
  readonly fingerprint: string;
  readonly state: RecordState;
  /** Undefined when there is no answer or it was too large to be stored. */
  readonly answer: StoredAnswer | undefined;
  /**
   * Whether this daemon made the attempt. A message about another attempt then
   * replaces the record only if that attempt was answered.
   */
  readonly isLocal: boolean;
  /** Local instant until which the record is kept. */
  readonly expiresAtMs: number;
}

/** A record in the table. */
export interface HeldRecord extends IdempotencyRecord {
  /** Increases with each record added; the position for reading in pages. */
  readonly sequence: number;
}

/** The idempotency records that one daemon holds. */
export class IdempotencyRecords {
  readonly #clock: Clock;
  readonly #records = new Map<string, HeldRecord>();
  #sequence = 0;
  #answerBytes = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get isFull(): boolean {
    this.#removeExpired();
    return this.#records.size >= recordCapacity;
  }

  /** Finds the record of a request, unless the record has expired. */
  tryFind(scope: RecordScope): HeldRecord | undefined {
    const record = this.#records.get(createRecordId(scope));
    if (record === undefined) return undefined;
    if (record.expiresAtMs > this.#clock.nowMs()) return record;
    this.#remove(record);
    return undefined;
  }

  /** Stores a record, replacing any record of the same request. */
  put(record: IdempotencyRecord): void {
    const held = this.#records.get(createRecordId(record.scope));
    if (held !== undefined) this.#remove(held);
    if (record.state === RecordState.Forgotten) return;
    const answer = this.#fitAnswer(record.answer);
    this.#answerBytes += answer?.body.length ?? 0;
    this.#sequence += 1;
    this.#records.set(createRecordId(record.scope), {
      ...record,
      answer,
      sequence: this.#sequence,
    });
  }

  /**
   * Removes the record of an attempt that did not run, but not of another
   * attempt.
   */
  forget(record: IdempotencyRecord): void {
    const held = this.#records.get(createRecordId(record.scope));
    if (held?.attemptId === record.attemptId) this.#remove(held);
  }

  /**
   * Merges a record from another daemon. A record of this table that is already
   * answered is kept. A late intent does not replace a record of its own
   * attempt, and a message about another attempt replaces the record of a local
   * attempt only if it holds an answer.
   */
  merge(record: IdempotencyRecord): void {
    const held = this.tryFind(record.scope);
    if (record.state === RecordState.Forgotten) return this.forget(record);
    if (held === undefined) return this.put(record);
    if (held.state === RecordState.Answered) return;
    const isSameAttempt = held.attemptId === record.attemptId;
    const isAnswered = record.state === RecordState.Answered;
    if (held.isLocal && !isSameAttempt && !isAnswered) return;
    const isStale = isSameAttempt && record.state === RecordState.InProgress;
    if (!isStale) this.put(record);
  }

  /** Up to `limit` matching records with a sequence above `afterSequence`. */
  list(
    matches: (scope: RecordScope) => boolean,
    options: { readonly afterSequence: number; readonly limit: number },
  ): HeldRecord[] {
    this.#removeExpired();
    const found: HeldRecord[] = [];
    for (const record of this.#records.values()) {
      if (found.length >= options.limit) break;
      if (record.sequence <= options.afterSequence) continue;
      if (matches(record.scope)) found.push(record);
    }
    return found;
  }

  /**
   * Drops the answer when it exceeds the capacity; the record is still stored.
   */
  #fitAnswer(answer: StoredAnswer | undefined): StoredAnswer | undefined {
    if (answer === undefined) return undefined;
    const neededBytes = this.#answerBytes + answer.body.length;
    return neededBytes <= answerCapacityBytes ? answer : undefined;
  }

  #removeExpired(): void {
    const nowMs = this.#clock.nowMs();
    for (const record of this.#records.values()) {
      if (record.expiresAtMs > nowMs) return;
      this.#remove(record);
    }
  }

  #remove(record: HeldRecord): void {
    this.#records.delete(createRecordId(record.scope));
    this.#answerBytes -= record.answer?.body.length ?? 0;
  }
}

/**
 * The map key of a request; includes the customer, so that customers never
 * share a record.
 */
function createRecordId(scope: RecordScope): string {
  const { service, key, customer, idempotencyKey } = scope;
  return JSON.stringify([service, key, customer, idempotencyKey]);
}
