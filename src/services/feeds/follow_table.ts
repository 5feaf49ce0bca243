/**
 * Follows one table of the store: reads it whole, then waits for changes. Reads
 * it whole again when the store has dropped the history in between.
 */
import type { RowChange, StoredRow } from "../../host/row_store.ts";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RouterError } from "../../types/errors.ts";

/** Longest time one call waits for a change; bounds how long a silent connection stays unnoticed. */
const followWaitMs = 4_000;
/** What the store may take to answer beyond the wait, when it is slow. */
const answerSlackMs = 800;
/** A whole read of a table from a slow store. */
const readTimeoutMs = 2_000;
/** Changes within this time are fetched by one call. */
const coalesceMs = 100;
/** Delays between calls that fail; calls are limited for the whole fleet. */
const firstRetryDelayMs = 50;
const maxRetryDelayMs = 700;

/** Receives the rows of a table. */
export interface TableReader {
  /** All rows of one moment; rows that are missing were removed. */
  onRows(rows: readonly StoredRow[]): void;
  /** Rows that changed since. */
  onChanges(changes: readonly RowChange[]): void;
  /** The store answers for the first time, or again after it did not. */
  onContact?(): void;
}

/** Runs until the signal aborts. */
export async function followTable(
  services: ServiceLookup,
  options: {
    readonly table: string;
    readonly reader: TableReader;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { table, reader, signal } = options;
  const clock = services.get(ServiceName.Clock);
  const random = services.get(ServiceName.Random);
  const log = services.get(ServiceName.Log);
  let version: number | undefined;
  let retryDelayMs = 0;
  let isInContact = false;
  while (!signal.aborted) {
    const failure = version === undefined ? await readAll() : await follow();
    if (signal.aborted) return;
    if (failure === undefined) {
      retryDelayMs = 0;
      continue;
    }
    if (failure.code === MessageCode.StoreHistoryGone) {
      log.info("table history gone", { table, afterVersion: version });
      version = undefined;
      continue;
    }
    if (isInContact) {
      log.warn("table feed lost", { table, error: failure.message, version });
    }
    isInContact = false;
    retryDelayMs = Math.min(
      maxRetryDelayMs,
      Math.max(firstRetryDelayMs, retryDelayMs * 2),
    );
    await clock.sleep(retryDelayMs * (0.5 + random.nextFraction()), signal);
  }

  async function readAll(): Promise<RouterError | undefined> {
    const answer = await services.get(ServiceName.RowStore)
      .read(table, { timeoutMs: readTimeoutMs });
    if (answer.isErr()) return answer.error;
    noteContact();
    reader.onRows(answer.value.rows);
    version = answer.value.version;
  }

  async function follow(): Promise<RouterError | undefined> {
    const answer = await services.get(ServiceName.RowStore).follow(table, {
      afterVersion: version!,
      waitMs: followWaitMs,
      timeoutMs: followWaitMs + answerSlackMs,
      signal,
    });
    if (answer.isErr()) return answer.error;
    noteContact();
    const { changes } = answer.value;
    version = answer.value.version;
    if (changes.length === 0) return;
    reader.onChanges(changes);
    await clock.sleep(coalesceMs, signal);
  }

  function noteContact(): void {
    if (isInContact || signal.aborted) return;
    isInContact = true;
    log.info("table feed established", { table, afterVersion: version });
    reader.onContact?.();
  }
}
