/**
 * The lease of the key granter: one row of the store, whose expiry is a time of
 * the store's clock. The holder bounds the store's clock from above, and stops
 * sending grants and releases before that bound reaches the expiry.
 */
import { err, ok, type Result } from "neverthrow";
import type { RowWrite, StoredRow } from "../../host/row_store.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RouterError } from "../../types/errors.ts";
import { decodeJson, encodeJson, leaseKey, leaseTable } from "./fleet_rows.ts";

/** Duration of a lease without a renewal; then another daemon can replace a lost holder. */
export const leaseDurationMs = 2_500;
/** Grants and releases stop this long before the expiry, to allow for their delivery to a server and for clock drift. */
const expiryMarginMs = 250;
/** Timeout of a call to the store; the lease outlasts two failed renewals. */
const callTimeoutMs = 800;
/** A larger change of the wall clock against the monotonic clock may be due to a suspension of the machine. */
const maxClockJumpMs = 300;

interface LeaseRecord {
  /** Identifies the process that holds the lease. */
  readonly holder: string;
  /** By the store's clock; 0 when the holder has released the lease. */
  readonly expiresAtStoreMs: number;
}

/** How an attempt to acquire or renew the lease ended. */
export enum LeaseState {
  /** This process holds the lease, and all writes of the attempt were applied. */
  Held = "held",
  /** An earlier write of this process, whose answer was lost, was applied; the writes of this attempt were not. */
  Outdated = "outdated",
  /** Another process holds the lease. */
  HeldByOther = "held-by-other",
}

/** A reading of the store's clock, taken between two readings of the local monotonic clock. */
interface StoreClockSample {
  readonly sentAtMs: number;
  readonly answeredAtMs: number;
  readonly storeTimeMs: number;
}

/** Acquires, renews and releases the lease for one process. */
export class GranterLease {
  readonly #services: ServiceLookup;
  readonly #holder: string;
  #rowVersion = 0;
  #term: number | undefined;
  /** Grants and releases may be sent until this instant of the monotonic clock. */
  #expiresAtMs = -Infinity;
  #wallOffsetMs = 0;
  #lastSample: StoreClockSample = {
    sentAtMs: 0,
    answeredAtMs: 0,
    storeTimeMs: 0,
  };
  #previousExpiryStoreMs = -Infinity;
  /** Settles with the write in progress; concurrent writes would conflict. */
  #currentWrite: Promise<unknown> = Promise.resolve();

  constructor(services: ServiceLookup, options: { readonly holder: string }) {
    this.#services = services;
    this.#holder = options.holder;
  }

  /** The version of the lease's row when this process acquired it; increases with each holder. */
  get term(): number | undefined {
    return this.#term;
  }

  /** Whether grants and releases may be sent now. */
  isHeld(): boolean {
    return this.#term !== undefined && !this.mayHaveBeenSuspended() &&
      this.#clock.nowMs() < this.#expiresAtMs;
  }

  /** Whether the time for which the last successful renewal extended the lease has passed. */
  hasExpired(): boolean {
    return this.#clock.nowMs() >= this.#expiresAtMs;
  }

  /** Whether the machine may have been suspended since the last renewal. */
  mayHaveBeenSuspended(): boolean {
    const offsetMs = this.#clock.wallTimeMs() - this.#clock.nowMs();
    return Math.abs(offsetMs - this.#wallOffsetMs) > maxClockJumpMs;
  }

  /** The latest instant at which the previous holder can have sent a grant or a release. */
  get previousHolderEndedAtMs(): number {
    return Math.min(
      this.#clock.nowMs(),
      this.toLocalTime(this.#previousExpiryStoreMs),
    );
  }

  /** An upper bound of the store's clock at an instant of the monotonic clock. */
  toStoreTime(localMs: number): number {
    const { sentAtMs, storeTimeMs } = this.#lastSample;
    return Math.ceil(storeTimeMs + localMs - sentAtMs);
  }

  /** An upper bound of the monotonic clock at a time of the store's clock. */
  toLocalTime(storeMs: number): number {
    const { answeredAtMs, storeTimeMs } = this.#lastSample;
    return answeredAtMs + storeMs - storeTimeMs;
  }

  /** Acquires the lease unless another process holds it. */
  async tryAcquire(): Promise<Result<LeaseState, RouterError>> {
    const sentAtMs = this.#clock.nowMs();
    // Another process may have held the lease since; its fences are higher than
    // those of this process's last term.
    this.#term = undefined;
    const read = await this.#store.read(leaseTable, {
      key: leaseKey,
      timeoutMs: callTimeoutMs,
    });
    if (read.isErr()) return err(read.error);
    const { rows: [row], storeTimeMs } = read.value;
    const record = row && decodeJson(row) as LeaseRecord;
    if (record?.holder === this.#holder && record.expiresAtStoreMs > 0) {
      // An earlier write of this process was applied, but its answer was lost.
      this.#rowVersion = row!.version;
    } else if (record !== undefined && storeTimeMs < record.expiresAtStoreMs) {
      return ok(LeaseState.HeldByOther);
    }
    this.#rowVersion = row?.version ?? 0;
    // A holder that released the lease has no expiry on record; it may have
    // sent grants and releases until now.
    this.#previousExpiryStoreMs = record === undefined
      ? -Infinity
      : record.expiresAtStoreMs || storeTimeMs;
    const answeredAtMs = this.#clock.nowMs();
    return await this.#write({ sentAtMs, answeredAtMs, storeTimeMs });
  }

  /** Extends the lease, and applies other writes in the same transaction. */
  async renew(
    writes: readonly RowWrite[] = [],
  ): Promise<Result<LeaseState, RouterError>> {
    const earlier = this.#currentWrite;
    const write = earlier.then(() => this.#write(this.#lastSample, writes));
    this.#currentWrite = write;
    return await write;
  }

  /** Releases the lease, so that another daemon can acquire it without waiting for the expiry. */
  async release(): Promise<void> {
    await this.#currentWrite;
    if (this.#term === undefined) return;
    this.#term = undefined;
    this.#expiresAtMs = -Infinity;
    const record: LeaseRecord = { holder: this.#holder, expiresAtStoreMs: 0 };
    await this.#store.transact({
      conditions: [this.#condition()],
      writes: [{ table: leaseTable, key: leaseKey, value: encodeJson(record) }],
    }, { timeoutMs: callTimeoutMs });
  }

  /** Writes the lease's row; `sample` bounds the store's clock from above. */
  async #write(
    sample: StoreClockSample,
    writes: readonly RowWrite[] = [],
  ): Promise<Result<LeaseState, RouterError>> {
    const sentAtMs = this.#clock.nowMs();
    const wallOffsetMs = this.#clock.wallTimeMs() - sentAtMs;
    // Upper bound of the store's clock when the call is sent, so that the lease
    // lasts at least its full duration from then on.
    const maxStoreTimeMs = sample.storeTimeMs + sentAtMs - sample.sentAtMs;
    const expiresAtStoreMs = Math.ceil(maxStoreTimeMs + leaseDurationMs);
    const record: LeaseRecord = { holder: this.#holder, expiresAtStoreMs };
    const answer = await this.#store.transact({
      conditions: [this.#condition()],
      writes: [
        { table: leaseTable, key: leaseKey, value: encodeJson(record) },
        ...writes,
      ],
    }, { timeoutMs: callTimeoutMs });
    if (answer.isErr()) return err(answer.error);
    const { isApplied, rows, storeTimeMs, version } = answer.value;
    if (!isApplied) return this.#resolveConflict(rows);
    this.#rowVersion = version;
    this.#term ??= version;
    this.#lastSample = {
      sentAtMs,
      answeredAtMs: this.#clock.nowMs(),
      storeTimeMs,
    };
    this.#wallOffsetMs = wallOffsetMs;
    // The store read its clock after the call was sent, so at least this time
    // was left from the sending to the expiry.
    this.#expiresAtMs = sentAtMs + expiresAtStoreMs - storeTimeMs -
      expiryMarginMs;
    return ok(LeaseState.Held);
  }

  /** Determines whether the conflicting write is from this process, with a lost answer, or from another. */
  #resolveConflict(
    rows: readonly StoredRow[],
  ): Result<LeaseState, RouterError> {
    const [row] = rows.filter(({ key }) => key === leaseKey);
    const record = row && decodeJson(row) as LeaseRecord;
    if (record?.holder === this.#holder && record.expiresAtStoreMs > 0) {
      this.#rowVersion = row!.version;
      return ok(LeaseState.Outdated);
    }
    this.#term = undefined;
    this.#expiresAtMs = -Infinity;
    return ok(LeaseState.HeldByOther);
  }

  #condition() {
    return { table: leaseTable, key: leaseKey, version: this.#rowVersion };
  }

  get #clock() {
    return this.#services.get(ServiceName.Clock);
  }

  get #store() {
    return this.#services.get(ServiceName.RowStore);
  }
}
