/**
 * The lease of the key granter: one row of the store, whose expiry is a time of
 * the store's clock. The holder bounds the store's clock from above, and stops
 * sending grants and releases before that bound reaches the expiry.
 */
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { RowsAnswer, RowWrite, StoredRow } from "../../host/row_store.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { RouterError } from "../../types/errors.ts";
import {
  compareStoreVersions,
  type StoreVersion,
} from "../../types/store_version.ts";
import { decodeJson, encodeJson, leaseKey, leaseTable } from "./fleet_rows.ts";
import { longestHoldMs } from "./hold_timing.ts";

/** Duration of a lease without a renewal; then another daemon can replace a lost holder. */
export const leaseDurationMs = 2_500;
/** Grants and releases stop this long before the expiry, to allow for their delivery to a server and for clock drift. */
const expiryMarginMs = 250;
/** Timeout of a call to the store; the lease outlasts two failed renewals. */
const callTimeoutMs = 800;
/** A larger change of the wall clock against the monotonic clock may be due to a suspension of the machine. */
const maxClockJumpMs = 300;

/**
 * Longest time from the writing of a lease to its end: the reading of the
 * store's clock from which the holder counts may be as old as a call.
 */
const longestLeaseMs = leaseDurationMs + callTimeoutMs;
/** Number by which terms rise with each era of the store; more than the versions that an era can lose. */
const termsPerEra = 2 ** 22;
/** Number of eras that are counted for a lease which the store doesn't show although the fleet has had one. */
const erasWithoutLease = 16;
/** Terms stay below this number, so that a double holds their fences exactly. */
const maxTerm = 2 ** 33 - 1;

interface LeaseRecord {
  /** Identifies the process that holds the lease. */
  readonly holder: string;
  /** By the store's clock; 0 when the holder has released the lease. */
  readonly expiresAtStoreMs: number;
  /** The holder's term; missing in records of earlier releases. */
  readonly term?: number;
  /** The era of the store in which the record was written; missing in records of earlier releases. */
  readonly era?: number;
  /** By the store's clock; until then servers may have holds of earlier eras that no table shows. */
  readonly unknownHoldsEndAtStoreMs?: number;
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
  /** Whether a missing row means that no daemon has held the lease yet. */
  readonly #isFirstStart: boolean;
  #rowVersion: StoreVersion = { era: 0, number: 0 };
  #term: number | undefined;
  /** The term that the next write of the row begins or continues. */
  #writtenTerm = 0;
  /** A row that may not tell all leases which still last, and the instant at which it was first read. */
  #distrusted:
    | { readonly version: StoreVersion; readonly readAtMs: number }
    | undefined;
  #unknownHoldsEndAtStoreMs: number | undefined;
  #waitsForUnknownHolds = false;
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

  constructor(
    services: ServiceLookup,
    options: { readonly holder: string; readonly isFirstStart?: boolean },
  ) {
    this.#services = services;
    this.#holder = options.holder;
    this.#isFirstStart = options.isFirstStart ?? true;
  }

  /** A number that is above those of all earlier holders, also of those that the store has lost. */
  get term(): number | undefined {
    return this.#term;
  }

  /** Whether grants and releases may be sent now. */
  isHeld(): boolean {
    const nowMs = this.#clock.nowMs();
    return this.#term !== undefined && !this.mayHaveBeenSuspended() &&
      !this.isUndone() && nowMs < this.#expiresAtMs;
  }

  /** Whether the store has begun a new era since the last renewal, so that it may have lost the lease. */
  isUndone(): boolean {
    return this.#rowVersion.era !== this.#store.eras.current;
  }

  /** The era of the store in which the lease is held. */
  get era(): number {
    return this.#rowVersion.era;
  }

  /** Instant until which servers may have holds that no table shows; `-Infinity` if they have none. */
  get unknownHoldsEndAtMs(): number {
    const endsAtStoreMs = this.#unknownHoldsEndAtStoreMs;
    return !this.#waitsForUnknownHolds || endsAtStoreMs === undefined
      ? -Infinity
      : this.toLocalTime(endsAtStoreMs);
  }

  /** The end of all holds that may have been granted until now, by whomever. */
  get allHoldsEndAtMs(): number {
    return this.#clock.nowMs() + longestLeaseMs + longestHoldMs;
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
    const { rows: [row], storeTimeMs, version } = read.value;
    const record = row && decodeJson(row) as LeaseRecord;
    const isOfEra = this.#isOfEra(record, version.era);
    // An earlier write of this process may have been applied, with its answer
    // lost. One of an earlier era may have undone another process's lease.
    const isOwn = isOfEra && record?.holder === this.#holder &&
      record.expiresAtStoreMs > 0;
    const isHeldByOther = !isOwn && record !== undefined &&
      storeTimeMs < record.expiresAtStoreMs;
    const rowVersion = { era: version.era, number: row?.version ?? 0 };
    const haveLeasesEnded = isOfEra || this.#haveLeasesEnded(rowVersion);
    if (isHeldByOther || !haveLeasesEnded) return ok(LeaseState.HeldByOther);
    this.#rowVersion = rowVersion;
    const failure = this.#chooseTerm(read.value, record);
    if (failure !== undefined) return err(failure);
    this.#waitsForUnknownHolds = true;
    if (!isOfEra) {
      const leasesEndedAtMs = this.#distrusted!.readAtMs + longestLeaseMs;
      this.#unknownHoldsEndAtStoreMs = Math.ceil(
        storeTimeMs + leasesEndedAtMs - sentAtMs + longestHoldMs,
      );
    } else if ((record?.unknownHoldsEndAtStoreMs ?? 0) > storeTimeMs) {
      this.#unknownHoldsEndAtStoreMs = record!.unknownHoldsEndAtStoreMs;
    } else {
      this.#unknownHoldsEndAtStoreMs = undefined;
    }
    // A holder that released the lease has no expiry on record; it may have
    // sent grants and releases until now.
    this.#previousExpiryStoreMs = record === undefined
      ? -Infinity
      : record.expiresAtStoreMs || storeTimeMs;
    const answeredAtMs = this.#clock.nowMs();
    return await this.#write({ sentAtMs, answeredAtMs, storeTimeMs });
  }

  /**
   * Whether this process held the lease at the moment when it first saw the
   * current era. Then nobody else can have acted since, while the former lease
   * lasts: whoever takes the lease in the new era waits longer than that.
   */
  canContinue(): boolean {
    const { changedAtMs } = this.#store.eras;
    return this.#term !== undefined && this.isUndone() &&
      changedAtMs !== undefined && changedAtMs < this.#expiresAtMs &&
      !this.mayHaveBeenSuspended() &&
      this.#clock.nowMs() < this.#expiresAtMs;
  }

  /** Takes the lease in a new era of the store, after `canContinue`; nobody else has granted anything then. */
  async continue(): Promise<Result<LeaseState, RouterError>> {
    const formerExpiresAtMs = this.#expiresAtMs;
    const sentAtMs = this.#clock.nowMs();
    this.#term = undefined;
    const read = await this.#store.read(leaseTable, {
      key: leaseKey,
      timeoutMs: callTimeoutMs,
    });
    if (read.isErr()) return err(read.error);
    const { rows: [row], storeTimeMs, version } = read.value;
    const record = row && decodeJson(row) as LeaseRecord;
    const isTaken = record?.era === version.era;
    const answeredAtMs = this.#clock.nowMs();
    if (isTaken || answeredAtMs >= formerExpiresAtMs) {
      return ok(LeaseState.HeldByOther);
    }
    this.#rowVersion = { era: version.era, number: row?.version ?? 0 };
    const failure = this.#chooseTerm(read.value, record);
    if (failure !== undefined) return err(failure);
    // This process knows all holds, but a successor would not.
    this.#waitsForUnknownHolds = false;
    this.#unknownHoldsEndAtStoreMs = Math.ceil(
      storeTimeMs + answeredAtMs - sentAtMs + longestLeaseMs + longestHoldMs,
    );
    this.#previousExpiryStoreMs = storeTimeMs;
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
    const record = this.#createRecord(0);
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
    const record = this.#createRecord(expiresAtStoreMs);
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
    this.#term ??= this.#writtenTerm;
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
    const isOwn = record?.holder === this.#holder &&
      record.expiresAtStoreMs > 0 && this.#isOfEra(record, this.era);
    if (isOwn) {
      this.#rowVersion = { era: this.era, number: row!.version };
      return ok(LeaseState.Outdated);
    }
    this.#term = undefined;
    this.#expiresAtMs = -Infinity;
    return ok(LeaseState.HeldByOther);
  }

  #createRecord(expiresAtStoreMs: number): LeaseRecord {
    const endsAtStoreMs = this.#unknownHoldsEndAtStoreMs;
    return {
      holder: this.#holder,
      expiresAtStoreMs,
      term: this.#writtenTerm,
      era: this.era,
      ...(endsAtStoreMs === undefined
        ? {}
        : { unknownHoldsEndAtStoreMs: endsAtStoreMs }),
    };
  }

  /** Whether a row that doesn't tell all leases has been there for so long that these have ended. */
  #haveLeasesEnded(version: StoreVersion): boolean {
    const nowMs = this.#clock.nowMs();
    const known = this.#distrusted;
    const isKnown = known !== undefined &&
      compareStoreVersions(known.version, version) === 0;
    if (!isKnown) this.#distrusted = { version, readAtMs: nowMs };
    return isKnown && nowMs - known.readAtMs >= longestLeaseMs;
  }

  /** Whether a record, or its absence, tells all leases that may still last. */
  #isOfEra(record: LeaseRecord | undefined, era: number): boolean {
    const hasSeenOther = this.#store.eras.changedAtMs !== undefined;
    if (record === undefined) return this.#isFirstStart && !hasSeenOther;
    return record.era === undefined ? !hasSeenOther : record.era === era;
  }

  /** Chooses a term above all that were given out, also in what the store has lost; returns an error if none is left. */
  #chooseTerm(
    { rows: [row], version }: RowsAnswer,
    record: LeaseRecord | undefined,
  ): RouterError | undefined {
    const { era } = version;
    const isOfEra = this.#isOfEra(record, era);
    const recordEra = record?.era ??
      (isOfEra ? era : Math.max(0, era - erasWithoutLease));
    const known = Math.max(
      version.number,
      record?.term ?? row?.version ?? 0,
      this.#services.get(ServiceName.KeySpace).granter()?.term ?? 0,
      this.#writtenTerm,
    );
    const term = known + 1 + (era - recordEra) * termsPerEra;
    if (term > maxTerm) {
      return new RouterError(MessageCode.Internal, "acquire lease", {
        detail: `no term is left after ${known} in era ${era}`,
      });
    }
    this.#writtenTerm = term;
    return undefined;
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
