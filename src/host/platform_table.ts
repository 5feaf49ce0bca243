/**
 * The contract of the platform's transactional table: versioned rows and
 * conditional writes. Every call can fail, and the answer to a write can be
 * lost after the write took effect.
 */
import type { Result } from "neverthrow";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { RouterError } from "../types/errors.ts";

/** A row as read from the table. */
export interface TableRow {
  readonly key: string;
  readonly value: string;
  /** Increases with each write; 0 means that the row does not exist. */
  readonly version: number;
}

/** A write on condition of the row's version; a transaction commits all of its writes or none. */
export interface TableWrite {
  readonly key: string;
  readonly value: string;
  readonly expectedVersion: number;
}

/** The result of a transaction. */
export interface WriteResult {
  readonly isCommitted: boolean;
  /** The rows after the call, in the order of the writes. */
  readonly rows: readonly TableRow[];
}

/** Stores versioned rows with compare-and-set. */
export abstract class PlatformTable extends Service {
  override readonly name = ServiceName.PlatformTable;

  /** Reads one row; undefined if it does not exist. */
  abstract read(
    key: string,
  ): Promise<Result<TableRow | undefined, RouterError>>;

  /** Reads the rows whose keys start with `prefix`, ordered by key. */
  abstract list(prefix: string): Promise<Result<TableRow[], RouterError>>;

  /**
   * Commits all writes if every expected version matches. An error with
   * outcome `Unknown` means that the writes may have taken effect.
   */
  abstract commit(
    writes: readonly TableWrite[],
  ): Promise<Result<WriteResult, RouterError>>;
}
