/**
 * A fake row store in memory. Faults that a test can inject: outage, daemons
 * without a connection, and writes that are applied late and lose their answer.
 */
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../diagnostics/messages.ts";
import type { Clock } from "../host/clock.ts";
import {
  type ChangesAnswer,
  type ChangesRequest,
  type RowChange,
  type RowsAnswer,
  RowStore,
  type RowTransaction,
  type StoredRow,
  type TransactionAnswer,
} from "../host/row_store.ts";
import { StoreEras } from "../host/store_eras.ts";
import { ChangeSignal } from "../streams/change_signal.ts";
import { AttemptOutcome } from "../types/enums.ts";
import { RouterError } from "../types/errors.ts";

const latencyMs = 4;

/** What the store contained at one moment. */
export interface RowsCopy {
  readonly version: number;
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly changes: readonly RowChange[];
  readonly compactedVersion: number;
}

/** The rows that the daemons of one test share; the store's clock is the test's clock. */
export class FakeRows {
  readonly changed = new ChangeSignal();
  readonly clock: Clock;
  version = 1;
  /** Rises whenever the store comes back from an older copy. */
  era = 1;
  /** Daemons that get no answer from the store. */
  readonly cutOff = new Set<string>();
  isDown = false;
  /** Delay after which writes are applied, without an answer; 0 applies them immediately. */
  lateWriteMs = 0;
  callCount = 0;
  /** Number of the next long polls that get no answer. */
  silentPollCount = 0;
  /** Whether the store refuses every call at once. */
  isRefusing = false;
  /** Incremented when the connections of all waiting long polls go silent. */
  silencedCount = 0;
  /** Number of long polls by daemon. */
  readonly pollCounts = new Map<string, number>();
  #rows = new Map<string, StoredRow>();
  #changes: RowChange[] = [];
  #compactedVersion = 0;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** The rows of a table, ordered by key. */
  rowsOf(table: string): StoredRow[] {
    return [...this.#rows.values()]
      .filter((row) => row.table === table)
      .sort((a, b) => a.key < b.key ? -1 : 1);
  }

  /** The changes of a table after a version; undefined if they were discarded. */
  changesAfter(table: string, version: number): RowChange[] | undefined {
    if (version < this.#compactedVersion || version > this.version) {
      return undefined;
    }
    return this.#changes.filter((change) =>
      change.table === table && change.version > version
    );
  }

  /** Leaves the long polls that wait now without an answer. */
  silenceWaitingPolls(): void {
    this.silencedCount += 1;
    this.changed.notify();
  }

  /** Copies the contents. */
  takeCopy(): RowsCopy {
    return {
      version: this.version,
      rows: new Map(this.#rows),
      changes: [...this.#changes],
      compactedVersion: this.#compactedVersion,
    };
  }

  /**
   * Comes back from an older copy: versions are given out again from there.
   * Returns a function that writes the rows of the given tables again, as their
   * writers do a moment later.
   */
  restore(copy: RowsCopy, rewrittenTables: readonly string[]): () => void {
    const before = this.#rows;
    const restored = copy.rows;
    this.era += 1;
    this.version = copy.version;
    this.#rows = new Map(copy.rows);
    this.#changes = [...copy.changes];
    this.#compactedVersion = copy.compactedVersion;
    this.changed.notify();
    return () => {
      for (const id of new Set([...restored.keys(), ...before.keys()])) {
        const row = (before.get(id) ?? restored.get(id))!;
        const isSame = before.get(id) === restored.get(id);
        const isWrittenSince = this.#rows.get(id) !== restored.get(id);
        if (isSame || isWrittenSince) continue;
        if (!rewrittenTables.includes(row.table)) continue;
        if (before.has(id)) this.put(row.table, row.key, row.value);
        else this.remove(row.table, row.key);
      }
    };
  }

  /** Discards the history of changes. */
  compact(): void {
    this.#changes = [];
    this.#compactedVersion = this.version;
  }

  /** Writes a row, as operators and backend servers do. */
  put(table: string, key: string, value: Uint8Array): void {
    this.version += 1;
    const row = { table, key, value, version: this.version };
    this.#rows.set(`${table}/${key}`, row);
    this.#changes.push({ ...row, isRemoved: false });
    this.changed.notify();
  }

  /** Removes a row. */
  remove(table: string, key: string): void {
    this.version += 1;
    this.#rows.delete(`${table}/${key}`);
    const value = new Uint8Array();
    this.#changes.push({
      table,
      key,
      value,
      version: this.version,
      isRemoved: true,
    });
    this.changed.notify();
  }

  /** Applies a transaction if all its conditions are met. */
  apply({ conditions, writes }: RowTransaction): TransactionAnswer {
    const current = conditions.map(({ table, key }) =>
      this.#rows.get(`${table}/${key}`)
    );
    const isApplied = conditions.every(({ version }, i) =>
      (current[i]?.version ?? 0) === version.number
    );
    if (isApplied) this.#write(writes);
    return {
      isApplied,
      version: { era: this.era, number: this.version },
      storeTimeMs: this.clock.nowMs(),
      rows: isApplied ? [] : current.filter((row) => row !== undefined),
    };
  }

  /** Writes rows under one new version. */
  #write(writes: RowTransaction["writes"]): void {
    this.version += 1;
    for (const write of writes) {
      const row = { ...write, version: this.version };
      this.#rows.set(`${write.table}/${write.key}`, row);
      this.#changes.push({ ...row, isRemoved: false });
    }
    this.changed.notify();
  }
}

/** One daemon's client of the row store. */
export class FakeRowStore extends RowStore {
  override readonly eras = new StoreEras();
  readonly #rows: FakeRows;
  readonly #daemonId: string;
  readonly #clock: Clock;

  constructor(
    rows: FakeRows,
    options: { readonly daemonId: string; readonly clock: Clock },
  ) {
    super();
    this.#rows = rows;
    this.#daemonId = options.daemonId;
    this.#clock = options.clock;
  }

  override async read(
    table: string,
    options: { readonly key?: string; readonly timeoutMs: number },
  ): Promise<Result<RowsAnswer, RouterError>> {
    const failure = await this.#reach(`read ${table}`, options.timeoutMs);
    if (failure !== undefined) return err(failure);
    const rows = this.#rows.rowsOf(table)
      .filter(({ key }) => options.key === undefined || key === options.key);
    return ok({ rows, ...this.#getSnapshot() });
  }

  override async follow(
    table: string,
    options: ChangesRequest,
  ): Promise<Result<ChangesAnswer, RouterError>> {
    const step = `follow ${table}`;
    if (this.#rows.silentPollCount > 0) {
      this.#rows.silentPollCount -= 1;
      await this.#clock.sleep(options.timeoutMs, options.signal);
      return err(new RouterError(MessageCode.PlatformUnavailable, step));
    }
    const startedAtMs = this.#clock.nowMs();
    const endsAtMs = startedAtMs + options.waitMs;
    const { silencedCount } = this.#rows;
    const { pollCounts } = this.#rows;
    pollCounts.set(
      this.#daemonId,
      (pollCounts.get(this.#daemonId) ?? 0) + 1,
    );
    for (;;) {
      const failure = await this.#reach(step, options.timeoutMs);
      if (failure !== undefined) return err(failure);
      if (this.#rows.silencedCount !== silencedCount) {
        const elapsedMs = this.#clock.nowMs() - startedAtMs;
        const remainingMs = Math.max(0, options.timeoutMs - elapsedMs);
        await this.#clock.sleep(remainingMs, options.signal);
        return err(new RouterError(MessageCode.PlatformUnavailable, step));
      }
      const { era, number } = options.afterVersion;
      const { version } = this.#getSnapshot();
      const changes = this.#rows.changesAfter(table, number);
      if (changes === undefined || version.era !== era) {
        return err(new RouterError(MessageCode.StoreHistoryDiscarded, step));
      }
      const durationMs = endsAtMs - this.#clock.nowMs();
      if (changes.length > 0 || durationMs <= 0 || options.signal.aborted) {
        return ok({ changes, ...this.#getSnapshot() });
      }
      const { changed } = this.#rows;
      await changed.waitAtMost(this.#clock, {
        durationMs,
        seenCount: changed.notifyCount,
        signal: options.signal,
      });
    }
  }

  override async transact(
    transaction: RowTransaction,
    options: { readonly timeoutMs: number },
  ): Promise<Result<TransactionAnswer, RouterError>> {
    const era = this.eras.current;
    if (transaction.conditions.some(({ version }) => version.era !== era)) {
      return err(new RouterError(MessageCode.PlatformUnavailable, "transact"));
    }
    const failure = await this.#reach("transact", options.timeoutMs);
    if (failure !== undefined) return err(failure);
    const { lateWriteMs } = this.#rows;
    if (lateWriteMs > 0) {
      this.#rows.clock.after(
        lateWriteMs,
        () => void this.#rows.apply(transaction),
      );
      await this.#clock.sleep(options.timeoutMs);
      return err(createLostError());
    }
    const answer = this.#rows.apply(transaction);
    this.eras.note(answer.version.era, this.#clock.nowMs());
    await this.#clock.sleep(latencyMs);
    return answer.version.era === era ? ok(answer) : err(createLostError());
  }

  async #reach(
    step: string,
    timeoutMs: number,
  ): Promise<RouterError | undefined> {
    this.#rows.callCount += 1;
    await this.#clock.sleep(latencyMs);
    if (this.#rows.isRefusing) {
      return new RouterError(MessageCode.PlatformUnavailable, step);
    }
    if (!this.#rows.isDown && !this.#rows.cutOff.has(this.#daemonId)) return;
    await this.#clock.sleep(timeoutMs);
    return new RouterError(MessageCode.PlatformUnavailable, step);
  }

  #getSnapshot() {
    const { era, version: number, clock } = this.#rows;
    this.eras.note(era, this.#clock.nowMs());
    return { version: { era, number }, storeTimeMs: clock.nowMs() };
  }
}

function createLostError(): RouterError {
  return new RouterError(MessageCode.PlatformAnswerLost, "transact", {
    outcome: AttemptOutcome.Unknown,
  });
}
