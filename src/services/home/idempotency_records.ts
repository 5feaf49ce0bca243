/**
 * What is known about each non-idempotent request with an idempotency key, in
 * bounded memory. A daemon holds the records of the servers it is home of and
 * copies of those it is standby for. A record is never dropped to make room:
 * when there is none, new requests are refused.
 */
import type { Clock } from "../../host/clock.ts";

/** What is known about a request. */
export enum RecordState {
  InProgress = "in-progress",
  Answered = "answered",
  Unknown = "unknown",
  /** The attempt did not run; only sent to a standby, never kept. */
  Forgotten = "forgotten",
}

/** Time for which the outcome of a request is remembered, in milliseconds. */
export const idempotencyWindowMs = 120_000;

const recordCapacity = 100_000;
const answerCapacityBytes = 16 * 1_024 * 1_024;

/** An answer kept for repeats. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** The request that a record belongs to. */
export interface RecordScope {
  readonly service: string;
  readonly shard: number;
  readonly key: string;
  readonly customer: string;
  readonly idempotencyKey: string;
}

/** One record. */
export interface IdempotencyRecord {
  readonly scope: RecordScope;
  /** Distinguishes attempts under the same idempotency key. */
  readonly attemptId: string;
  /** Hash of the request, to recognise a key used for another one. */
  readonly fingerprint: string;
  readonly state: RecordState;
  /** Undefined when the answer was too large to be kept. */
  readonly answer: StoredAnswer | undefined;
  /** Whether this daemon made the attempt; it alone ends such a record. */
  readonly isLocal: boolean;
  /** Local instant until which the record is kept. */
  readonly expiresAtMs: number;
}

/** A record in its table. */
export interface HeldRecord extends IdempotencyRecord {
  /** Rises with each record added here; lets a reader continue. */
  readonly sequence: number;
}

/** The records of one daemon. */
export class IdempotencyRecords {
  readonly #clock: Clock;
  readonly #records = new Map<string, HeldRecord>();
  #sequence = 0;
  #answerBytes = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether no further record fits. */
  get isFull(): boolean {
    this.#removeExpired();
    return this.#records.size >= recordCapacity;
  }

  /** Finds the record of a request. */
  tryFind(scope: RecordScope): HeldRecord | undefined {
    const record = this.#records.get(createRecordId(scope));
    if (record === undefined) return undefined;
    if (record.expiresAtMs > this.#clock.nowMs()) return record;
    this.#remove(record);
    return undefined;
  }

  /** Stores a record in place of any other of the same request. */
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

  /** Removes the record of an attempt that did not run. */
  forget(record: IdempotencyRecord): void {
    const held = this.#records.get(createRecordId(record.scope));
    if (held?.attemptId === record.attemptId) this.#remove(held);
  }

  /**
   * Takes over a record from another daemon. What is known for certain here is
   * kept, and a late message about an earlier attempt changes nothing.
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

  /** The records that match, after a position, at most `limit`. */
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

  /** Drops the answer when no more answers fit; the record itself is kept. */
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

/** One name for each request; requests of different customers never meet. */
function createRecordId(scope: RecordScope): string {
  const { service, key, customer, idempotencyKey } = scope;
  return JSON.stringify([service, key, customer, idempotencyKey]);
}
