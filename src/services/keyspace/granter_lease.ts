/**
 * The lease of the key granter: one row of the store, whose expiry is counted
 * by the store's own clock. The holder stops giving orders before the store's
 * clock can have reached the expiry, as far as the holder can tell.
 */
import { err, ok, type Result } from "neverthrow";
import type { RowWrite, StoredRow } from "../../host/row_store.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RouterError } from "../../types/errors.ts";
import { decodeJson, encodeJson, leaseKey, leaseTable } from "./fleet_rows.ts";

/** How long a lease lasts without a renewal; a lost holder is replaced after this. */
export const leaseDurationMs = 2_500;
/** Orders stop this long before the expiry: an order's way to a server, and clock drift. */
const orderMarginMs = 250;
/** Longest wait for a renewal; the lease outlasts two failed ones. */
const callTimeoutMs = 800;
/** A jump of the time of day against the steady clock that may hide a suspension. */
const suspicionMs = 300;

interface LeaseRecord {
  /** Names the process that holds the lease. */
  readonly holder: string;
  /** By the store's clock; 0 when the holder has left. */
  readonly expiresAtStoreMs: number;
}

/** How an attempt to take or renew the lease ended. */
export enum LeaseState {
  /** This process holds the lease, and all writes were applied. */
  Held = "held",
  /** An earlier write without an answer was applied; this one was not. */
  Outdated = "outdated",
  /** Another process holds it. */
  HeldByOther = "held-by-other",
}

/** One reading of the store's clock, between two instants of the own one. */
interface StoreMoment {
  readonly sentAtMs: number;
  readonly answeredAtMs: number;
  readonly storeTimeMs: number;
}

/** Takes and keeps the lease of one process. */
export class GranterLease {
  readonly #services: ServiceLookup;
  readonly #holder: string;
  #rowVersion = 0;
  #term: number | undefined;
  /** Orders may be given before this, by the steady clock. */
  #ordersUntilMs = -Infinity;
  #wallOffsetMs = 0;
  #lastMoment: StoreMoment = { sentAtMs: 0, answeredAtMs: 0, storeTimeMs: 0 };
  #earlierExpiryStoreMs = -Infinity;
  /** Ends when the write under way has ended; two would refuse each other. */
  #writing: Promise<unknown> = Promise.resolve();

  constructor(services: ServiceLookup, options: { readonly holder: string }) {
    this.#services = services;
    this.#holder = options.holder;
  }

  /** The version of the row when the lease was taken; rises with each holder. */
  get term(): number | undefined {
    return this.#term;
  }

  /** Whether an order may be given now. */
  isHeld(): boolean {
    return this.#term !== undefined && !this.isSuspicious() &&
      this.#clock.nowMs() < this.#ordersUntilMs;
  }

  /** Whether the lease has certainly run out for this process. */
  hasExpired(): boolean {
    return this.#clock.nowMs() >= this.#ordersUntilMs;
  }

  /** Whether the machine may have been suspended since the last renewal. */
  isSuspicious(): boolean {
    const offsetMs = this.#clock.wallTimeMs() - this.#clock.nowMs();
    return Math.abs(offsetMs - this.#wallOffsetMs) > suspicionMs;
  }

  /** The latest instant at which the earlier holder may have given an order. */
  get earlierOrdersUntilMs(): number {
    return Math.min(
      this.#clock.nowMs(),
      this.toLocalTime(this.#earlierExpiryStoreMs),
    );
  }

  /** An instant of the steady clock by the store's clock, at the latest. */
  toStoreTime(localMs: number): number {
    const { sentAtMs, storeTimeMs } = this.#lastMoment;
    return Math.ceil(storeTimeMs + localMs - sentAtMs);
  }

  /** An instant of the store's clock by the steady clock, at the latest. */
  toLocalTime(storeMs: number): number {
    const { answeredAtMs, storeTimeMs } = this.#lastMoment;
    return answeredAtMs + storeMs - storeTimeMs;
  }

  /** Takes the lease when nobody holds it. */
  async tryTake(): Promise<Result<LeaseState, RouterError>> {
    const sentAtMs = this.#clock.nowMs();
    // Others may have held the lease since; their fences are above ours.
    this.#term = undefined;
    const read = await this.#store.read(leaseTable, {
      key: leaseKey,
      timeoutMs: callTimeoutMs,
    });
    if (read.isErr()) return err(read.error);
    const { rows: [row], storeTimeMs } = read.value;
    const record = row && decodeJson(row) as LeaseRecord;
    if (record?.holder === this.#holder && record.expiresAtStoreMs > 0) {
      // An earlier write of this process was applied without an answer.
      this.#rowVersion = row!.version;
    } else if (record !== undefined && storeTimeMs < record.expiresAtStoreMs) {
      return ok(LeaseState.HeldByOther);
    }
    this.#rowVersion = row?.version ?? 0;
    // A holder that left in order has no expiry on record; its orders may have
    // gone out until now.
    this.#earlierExpiryStoreMs = record === undefined
      ? -Infinity
      : record.expiresAtStoreMs || storeTimeMs;
    const answeredAtMs = this.#clock.nowMs();
    return await this.#write({ sentAtMs, answeredAtMs, storeTimeMs });
  }

  /** Extends the lease, together with other writes or alone. */
  async renew(
    writes: readonly RowWrite[] = [],
  ): Promise<Result<LeaseState, RouterError>> {
    const earlier = this.#writing;
    const writing = earlier.then(() => this.#write(this.#lastMoment, writes));
    this.#writing = writing;
    return await writing;
  }

  /** Gives the lease up, so that another daemon may take it at once. */
  async release(): Promise<void> {
    await this.#writing;
    if (this.#term === undefined) return;
    this.#term = undefined;
    this.#ordersUntilMs = -Infinity;
    const record: LeaseRecord = { holder: this.#holder, expiresAtStoreMs: 0 };
    await this.#store.transact({
      conditions: [this.#condition()],
      writes: [{ table: leaseTable, key: leaseKey, value: encodeJson(record) }],
    }, { timeoutMs: callTimeoutMs });
  }

  /** Writes the row; `moment` bounds the store's clock from above. */
  async #write(
    moment: StoreMoment,
    writes: readonly RowWrite[] = [],
  ): Promise<Result<LeaseState, RouterError>> {
    const sentAtMs = this.#clock.nowMs();
    const wallOffsetMs = this.#clock.wallTimeMs() - sentAtMs;
    // The store's clock is at most this far when the call is sent, so the
    // expiry lies at least one lease after the sending.
    const storeTimeAtMostMs = moment.storeTimeMs + sentAtMs - moment.sentAtMs;
    const expiresAtStoreMs = Math.ceil(storeTimeAtMostMs + leaseDurationMs);
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
    if (!isApplied) return this.#adoptConflict(rows);
    this.#rowVersion = version;
    this.#term ??= version;
    this.#lastMoment = {
      sentAtMs,
      answeredAtMs: this.#clock.nowMs(),
      storeTimeMs,
    };
    this.#wallOffsetMs = wallOffsetMs;
    // The store's clock stands at `storeTimeMs` at the earliest when the call
    // was sent.
    this.#ordersUntilMs = sentAtMs + expiresAtStoreMs - storeTimeMs -
      orderMarginMs;
    return ok(LeaseState.Held);
  }

  /** The row was changed by a write of this process without an answer, or by another. */
  #adoptConflict(rows: readonly StoredRow[]): Result<LeaseState, RouterError> {
    const [row] = rows.filter(({ key }) => key === leaseKey);
    const record = row && decodeJson(row) as LeaseRecord;
    if (record?.holder === this.#holder && record.expiresAtStoreMs > 0) {
      this.#rowVersion = row!.version;
      return ok(LeaseState.Outdated);
    }
    this.#term = undefined;
    this.#ordersUntilMs = -Infinity;
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
