/**
 * A copy of one table of the store, with its recent changes, from which other
 * daemons' copies are updated. Several services may read one copy.
 */
import type { RowChange, StoredRow } from "../../host/row_store.ts";
import {
  compareStoreVersions,
  type StoreVersion,
} from "../../types/store_version.ts";
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
  /** Called before the first snapshot of a new era of the store, which may lack the last changes of the old one. */
  onNewEra?(): void;
  /** Whether a known row stays in the copy although the first snapshot of a new era lacks it, or has another one. */
  keepsRow?(known: StoredRow, read: StoredRow | undefined): boolean;
}

/** What brings a copy up to date: either the changes that it lacks, or a snapshot. */
export interface TableUpdate {
  /** The version of the store that a copy has after the update. */
  readonly version: StoreVersion;
  /** Whether `changes` holds all rows of the table. */
  readonly isSnapshot: boolean;
  readonly changes: readonly RowChange[];
}

/** The rows of one table by key, as of a version of the store. */
export class TableCopy {
  readonly #readers = new Set<TableReader>();
  readonly #rows = new Map<string, StoredRow>();
  /** Of the era of `#version` and ordered by version; each is newer than `#changesAfter`. */
  #changes: RowChange[] = [];
  #changesAfter = 0;
  #version: StoreVersion | undefined;
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
  get version(): StoreVersion | undefined {
    return this.#version;
  }

  /**
   * Applies an update. One that is older than the copy has no effect, nor have
   * changes of another era than the copy's, which only a snapshot can follow.
   */
  apply(update: TableUpdate, origin: UpdateOrigin): void {
    const version = this.#version;
    if (version === undefined) return this.#replace(update, origin);
    if (compareStoreVersions(update.version, version) < 0) return;
    if (update.version.era !== version.era) {
      if (update.isSnapshot) this.#beginEra(update, origin);
    } else if (update.isSnapshot) {
      this.#replace(update, origin);
    } else {
      this.#extend(update, origin);
    }
  }

  /** Returns the update that a copy of the given version lacks. */
  updateAfter(version: StoreVersion | undefined): TableUpdate {
    const own = this.#version ?? { era: 0, number: 0 };
    if (version !== undefined && version.era > own.era) {
      return { version: own, isSnapshot: false, changes: [] };
    }
    const isSnapshot = version === undefined || version.era < own.era ||
      version.number < this.#changesAfter;
    const changes = isSnapshot
      ? [...this.#rows.values()].map((row) => ({ ...row, isRemoved: false }))
      : this.#changes.filter((change) => change.version > version.number);
    return { version: own, isSnapshot, changes };
  }

  /** Replaces the rows by a snapshot of a new era, but for those that a reader keeps until they are written again. */
  #beginEra(update: TableUpdate, origin: UpdateOrigin): void {
    const rows = new Map(update.changes.map((row) => [row.key, row]));
    for (const known of this.#rows.values()) {
      const read = rows.get(known.key);
      const isKept = [...this.#readers]
        .some((reader) => reader.keepsRow?.(known, read) ?? false);
      if (!isKept) continue;
      const { number: version } = update.version;
      rows.set(known.key, { ...known, version, isRemoved: false });
    }
    for (const reader of this.#readers) reader.onNewEra?.();
    this.#replace({ ...update, changes: [...rows.values()] }, origin);
  }

  #replace({ version, changes }: TableUpdate, origin: UpdateOrigin): void {
    this.#lastOrigin = origin;
    this.#rows.clear();
    for (const row of changes) this.#rows.set(row.key, row);
    this.#changes = [];
    this.#changesAfter = version.number;
    this.#version = version;
    for (const reader of this.#readers) reader.onRows(changes, origin);
  }

  #extend({ version, changes }: TableUpdate, origin: UpdateOrigin): void {
    this.#lastOrigin = origin;
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
