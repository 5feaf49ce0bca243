/** A copy of one table of the store, with the changes of the last minutes. */
import type { RowChange, StoredRow } from "../../host/row_store.ts";

/** Changes that are kept for daemons that are behind; older ones need a whole read. */
const keptChangeCount = 2_000;

/** Receives the rows of a table. */
export interface TableReader {
  /** All rows of one moment; rows that are missing were removed. */
  onRows(rows: readonly StoredRow[]): void;
  /** Rows that changed since. */
  onChanges(changes: readonly RowChange[]): void;
  /** The store answers for the first time, or again after it did not. */
  onContact?(): void;
}

/** What a copy lacks: either changes, or everything. */
export interface TableUpdate {
  /** The version of the store up to which the update brings a copy. */
  readonly version: number;
  readonly isWhole: boolean;
  readonly changes: readonly RowChange[];
}

/** Rows by key, up to a version of the store. */
export class TableCopy {
  readonly reader: TableReader;
  readonly #rows = new Map<string, StoredRow>();
  /** In order; each is newer than `#changesAfter`. */
  #changes: RowChange[] = [];
  #changesAfter = 0;
  #version: number | undefined;
  /** Instant at which the copy was known to be current. */
  confirmedAtMs = -Infinity;

  constructor(reader: TableReader) {
    this.reader = reader;
  }

  /** The version of the store up to which the copy is complete. */
  get version(): number | undefined {
    return this.#version;
  }

  /** Applies what a copy lacked; older updates than the copy have no effect. */
  apply(update: TableUpdate): void {
    if (this.#version !== undefined && update.version < this.#version) return;
    if (update.isWhole || this.#version === undefined) this.#replace(update);
    else this.#extend(update);
  }

  /** What a copy of the given version lacks. */
  updateAfter(version: number | undefined): TableUpdate {
    const isWhole = version === undefined || version < this.#changesAfter;
    const changes = isWhole
      ? [...this.#rows.values()].map((row) => ({ ...row, isRemoved: false }))
      : this.#changes.filter((change) => change.version > version);
    return { version: this.#version ?? 0, isWhole, changes };
  }

  #replace({ version, changes }: TableUpdate): void {
    this.#rows.clear();
    for (const row of changes) this.#rows.set(row.key, row);
    this.#changes = [];
    this.#changesAfter = version;
    this.#version = version;
    this.reader.onRows(changes);
  }

  #extend({ version, changes }: TableUpdate): void {
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
    this.reader.onChanges(changes);
  }
}
