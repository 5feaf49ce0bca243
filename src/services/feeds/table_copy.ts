/**
 * A copy of one table of the store, with its recent changes, from which other
 * daemons' copies are updated. Several services may read one copy.
 */
import type { RowChange, StoredRow } from "../../host/row_store.ts";
import type { UpdateOrigin } from "./update_origin.ts";

/** Number of changes kept for daemons whose copies lag; a copy that lacks older changes gets a snapshot. */
const keptChangeCount = 2_000;

/** Receives the rows of a table. */
export interface TableReader {
  /** Receives a snapshot; rows that it does not contain were removed. */
  onRows(rows: readonly StoredRow[], origin: UpdateOrigin): void;
  /** Receives the rows that changed since the previous call. */
  onChanges(changes: readonly RowChange[], origin: UpdateOrigin): void;
  /** Called when the store answers for the first time, or again after an outage. */
  onStoreReachable?(): void;
}

/** What brings a copy up to date: either the changes that it lacks, or a snapshot. */
export interface TableUpdate {
  /** The version of the store that a copy has after the update. */
  readonly version: number;
  /** Whether `changes` holds all rows of the table. */
  readonly isSnapshot: boolean;
  readonly changes: readonly RowChange[];
}

/** The rows of one table by key, as of a version of the store. */
export class TableCopy {
  readonly #readers = new Set<TableReader>();
  readonly #rows = new Map<string, StoredRow>();
  /** Ordered by version; each is newer than `#changesAfter`. */
  #changes: RowChange[] = [];
  #changesAfter = 0;
  #version: number | undefined;
  #lastOrigin: UpdateOrigin | undefined;
  /** Instant at which the copy was last known to be current. */
  confirmedAtMs = -Infinity;

  /** The number of readers that receive the rows. */
  get readerCount(): number {
    return this.#readers.size;
  }

  /** Adds a reader, which receives the current rows immediately if there are any. */
  addReader(reader: TableReader): void {
    this.#readers.add(reader);
    if (this.#lastOrigin === undefined) return;
    reader.onRows([...this.#rows.values()], this.#lastOrigin);
  }

  removeReader(reader: TableReader): void {
    this.#readers.delete(reader);
  }

  /** Tells the readers that the store answers for the first time, or again after an outage. */
  noteStoreReachable(): void {
    for (const reader of this.#readers) reader.onStoreReachable?.();
  }

  /** The version of the store that the copy reflects; undefined before the first snapshot. */
  get version(): number | undefined {
    return this.#version;
  }

  /** Applies an update; an update older than the copy has no effect. */
  apply(update: TableUpdate, origin: UpdateOrigin): void {
    if (this.#version !== undefined && update.version < this.#version) return;
    this.#lastOrigin = origin;
    if (update.isSnapshot || this.#version === undefined) {
      this.#replace(update, origin);
    } else {
      this.#extend(update, origin);
    }
  }

  /** Returns the update that a copy of the given version lacks. */
  updateAfter(version: number | undefined): TableUpdate {
    const isSnapshot = version === undefined || version < this.#changesAfter;
    const changes = isSnapshot
      ? [...this.#rows.values()].map((row) => ({ ...row, isRemoved: false }))
      : this.#changes.filter((change) => change.version > version);
    return { version: this.#version ?? 0, isSnapshot, changes };
  }

  #replace({ version, changes }: TableUpdate, origin: UpdateOrigin): void {
    this.#rows.clear();
    for (const row of changes) this.#rows.set(row.key, row);
    this.#changes = [];
    this.#changesAfter = version;
    this.#version = version;
    for (const reader of this.#readers) reader.onRows(changes, origin);
  }

  #extend({ version, changes }: TableUpdate, origin: UpdateOrigin): void {
    this.#version = version;
    if (changes.length === 0) return;
    for (const change of changes) {
      if (change.isRemoved) this.#rows.delete(change.key);
      else this.#rows.set(change.key, change);
      this.#changes.push(change);
    }
    const surplus = this.#changes.length - keptChangeCount;
    if (surplus > 0) {
      this.#changesAfter = this.#changes[surplus - 1]!.version;
      this.#changes.splice(0, surplus);
    }
    for (const reader of this.#readers) reader.onChanges(changes, origin);
  }
}
