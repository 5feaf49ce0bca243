/**
 * The contract of the platform's linearizable row store: conditional
 * transactions over rows, and feeds of the changes to a table.
 */
import type { Result } from "neverthrow";
import type { StoreEras } from "./store_eras.ts";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { StoreVersion } from "../types/store_version.ts";
import type { RouterError } from "../types/errors.ts";

/** One row of the store. */
export interface StoredRow {
  readonly table: string;
  readonly key: string;
  readonly value: Uint8Array;
  /**
   * The version of the store at the last write to the row, within the era of
   * the answer or copy that contains the row.
   */
  readonly version: number;
}

/** A row that was written or removed. */
export interface RowChange extends StoredRow {
  readonly isRemoved: boolean;
}

/** The store's version and clock at one point in time. */
export interface StoreSnapshot {
  /** The newest version in the store. */
  readonly version: StoreVersion;
  /** Time of the store's monotonic clock. */
  readonly storeTimeMs: number;
}

/**
 * Rows of a table that include every change up to the version. A table that is
 * read with more than one call may include some of the later changes.
 */
export interface RowsAnswer extends StoreSnapshot {
  readonly rows: readonly StoredRow[];
}

/** Changes that a feed delivers. */
export interface ChangesAnswer extends StoreSnapshot {
  readonly changes: readonly RowChange[];
}

/** The version that a row must have for a transaction to be applied. */
export interface RowCondition {
  readonly table: string;
  readonly key: string;
  /** The number 0 means that the row must not exist. */
  readonly version: StoreVersion;
}

export interface RowWrite {
  readonly table: string;
  readonly key: string;
  readonly value: Uint8Array;
}

/** Writes that are applied all together or not at all. */
export interface RowTransaction {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/** Whether a transaction was applied. */
export interface TransactionAnswer extends StoreSnapshot {
  readonly isApplied: boolean;
  /** The current rows of the conditions, when the transaction was not applied. */
  readonly rows: readonly StoredRow[];
}

/** Which changes of a table to wait for, and how long. */
export interface ChangesRequest {
  /** The version of the store up to which the caller has the changes. */
  readonly afterVersion: StoreVersion;
  /** How long the store waits for a change (long poll). */
  readonly waitMs: number;
  /** How long the client waits for the store's answer. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/**
 * A client of the row store. The `outcome` of an error states whether a write
 * may have been applied.
 */
export abstract class RowStore extends Service {
  override readonly name = ServiceName.RowStore;

  /** The store's eras, as its answers tell them. */
  abstract readonly eras: StoreEras;

  /** Reads all rows of a table, or one row when `key` is given. */
  abstract read(
    table: string,
    options: { readonly key?: string; readonly timeoutMs: number },
  ): Promise<Result<RowsAnswer, RouterError>>;

  /**
   * Waits up to `waitMs` for changes after a version. The error code
   * `MessageCode.StoreHistoryDiscarded` means that the store no longer has all
   * of those changes, or has begun a new era, and the caller must read the whole
   * table again.
   */
  abstract follow(
    table: string,
    options: ChangesRequest,
  ): Promise<Result<ChangesAnswer, RouterError>>;

  /**
   * Applies a transaction. One whose conditions were read in another era is not
   * sent; if the era changes before the answer, the outcome is unknown.
   */
  abstract transact(
    transaction: RowTransaction,
    options: { readonly timeoutMs: number },
  ): Promise<Result<TransactionAnswer, RouterError>>;
}
