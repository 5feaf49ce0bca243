/**
 * The platform's transactional table, as services see it: rows with versions
 * and conditional writes. Every call can fail, and the answer to a write can
 * be lost after the write took effect.
 */
import type { Result } from "neverthrow";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { RouterError } from "../types/errors.ts";

/** A row as read from the table. */
export interface TableRow {
  readonly key: string;
  readonly value: string;
  /** Rises with each write; 0 stands for "no row". */
  readonly version: number;
}

/** One conditional write; a transaction commits all of its writes or none. */
export interface TableWrite {
  readonly key: string;
  readonly value: string;
  readonly expectedVersion: number;
}

/** The answer to a transaction. */
export interface WriteResult {
  readonly isCommitted: boolean;
  /** The rows as they stand after the call, in the order of the writes. */
  readonly rows: readonly TableRow[];
}

/** Rows with compare-and-set. */
export abstract class PlatformTable extends Service {
  override readonly name = ServiceName.PlatformTable;

  /** Reads one row; undefined when there is none. */
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
