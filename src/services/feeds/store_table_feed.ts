/**
 * Feeds of the store. One task for each table reads it whole, then waits for
 * changes, and reads it whole again when the store has dropped the history in
 * between. The tasks rest while another daemon relays the tables.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import { MessageCode } from "../../diagnostics/messages.ts";
import { LimitedSignal } from "../../host/limited_signal.ts";
import type { RowChange, StoredRow } from "../../host/row_store.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import type { RouterError } from "../../types/errors.ts";
import { CounterName } from "../metrics/metrics.ts";
import { TableCopy } from "./table_copy.ts";
import {
  type FollowOptions,
  TableFeed,
  type TableUpdates,
} from "./table_feed.ts";
import { createStopController } from "../../streams/stop_controller.ts";

/** Longest time one call waits for a change; bounds how long a silent connection stays unnoticed. */
const followWaitMs = 4_000;
/** As `followWaitMs`, for the daemon on which the fleet depends. */
const relayingWaitMs = 800;
/** What the store may take to answer beyond the wait, when it is slow. */
const answerSlackMs = 600;
/** A whole read of a table from a slow store. */
const readTimeoutMs = 2_000;
/** Changes within this time are fetched by one call: for each daemon that reads the store, within bounds that keep a copy less than two seconds old. */
const coalesceMs = { perReader: 15, least: 100, most: 1_300 };
/** Time after the start in which a daemon that relays tables is found. */
const relayPatienceMs = 1_200;
/** As `coalesceMs`, within that time: all daemons may have started together, and each tells of itself. */
const startCoalesceMs = 500;
/** Mean delays between calls that fail: a daemon that was cut off is back within a second and a half. */
const firstRetryDelayMs = 50;
const maxRetryDelayMs = 700;
/** As `maxRetryDelayMs`, while another table is out of contact too and asks for both. */
const waitingRetryDelayMs = 3_000;
/** Without contact for this long, servers that are missing may register again. */
const contactLossMs = 1_500;

interface FollowedTable {
  readonly table: string;
  readonly copy: TableCopy;
  readonly signal: AbortSignal;
  isInContact: boolean;
  retryDelayMs: number;
}

/** Follows tables of the store. */
export class StoreTableFeed extends TableFeed {
  override readonly changed = new ChangeSignal();
  readonly #tables = new Map<string, FollowedTable>();
  readonly #modeChanged = new ChangeSignal();
  /** The store answers again for some table. */
  readonly #contactRegained = new ChangeSignal();
  #services: ServiceLookup | undefined;
  #direct = createStopController();
  #isRelayed = false;
  #isRelaying = false;
  /** Whether it was decided where tables come from. */
  #isDecided = false;
  #readerCount = 1;

  override get needs(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.RowStore,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    return Promise.resolve();
  }

  override async follow(table: string, options: FollowOptions): Promise<void> {
    const { reader, signal, isNeededAtOnce = false } = options;
    const followed: FollowedTable = {
      table,
      signal,
      copy: new TableCopy(reader),
      isInContact: false,
      retryDelayMs: 0,
    };
    this.#tables.set(table, followed);
    if (!isNeededAtOnce) await this.#awaitDecision(signal);
    while (!signal.aborted) {
      if (this.#isRelayed && followed.copy.version !== undefined) {
        await this.#modeChanged.wait(signal);
        continue;
      }
      const failure = await this.#advance(followed);
      if (failure !== undefined) await this.#noteFailure(followed, failure);
    }
  }

  /** Waits until it is known where tables come from, for a short time. */
  async #awaitDecision(signal: AbortSignal): Promise<void> {
    const clock = this.#services!.get(ServiceName.Clock);
    const untilMs = clock.nowMs() + relayPatienceMs;
    while (!this.#isDecided && !signal.aborted && clock.nowMs() < untilMs) {
      await this.#modeChanged.waitAtMost(clock, {
        durationMs: untilMs - clock.nowMs(),
        seenCount: this.#modeChanged.notifyCount,
        signal,
      });
    }
    if (!this.#isDecided) this.setRelayed(false);
  }

  override versions(): ReadonlyMap<string, number | undefined> {
    return new Map(
      [...this.#tables].map(([table, { copy }]) => [table, copy.version]),
    );
  }

  override freshForMs(maxAgeMs: number): number {
    const confirmedAtMs = [...this.#tables.values()]
      .map(({ copy }) => copy.confirmedAtMs);
    return Math.min(...confirmedAtMs) + maxAgeMs - this.#nowMs();
  }

  override updatesAfter(
    versions: ReadonlyMap<string, number | undefined>,
  ): TableUpdates {
    return new Map(
      [...versions].flatMap(([table, version]) => {
        const copy = this.#tables.get(table)?.copy;
        if (copy?.version === undefined) return [];
        return [[table, copy.updateAfter(version)] as const];
      }),
    );
  }

  override applyRelayed(updates: TableUpdates): void {
    for (const [table, update] of updates) {
      const followed = this.#tables.get(table);
      if (followed === undefined) continue;
      this.#noteContact(followed);
      followed.copy.apply(update);
    }
    if (updates.size > 0) this.changed.notify();
  }

  override setRelayed(isRelayed: boolean): void {
    // An exchange with the former granter may end after this daemon's term has
    // begun; whoever relays reads the store itself.
    if (isRelayed && this.#isRelaying) return;
    if (this.#isDecided && this.#isRelayed === isRelayed) return;
    this.#isDecided = true;
    this.#isRelayed = isRelayed;
    this.#services!.get(ServiceName.Log)
      .write(isRelayed ? LogEvent.TablesRelayed : LogEvent.TablesReadFromStore);
    if (isRelayed) {
      this.#direct.abort();
      this.#direct = createStopController();
    }
    this.#modeChanged.notify();
  }

  override setRelaying(isRelaying: boolean): void {
    this.#isRelaying = isRelaying;
    if (isRelaying) this.setRelayed(false);
  }

  override setReaderCount(count: number): void {
    this.#readerCount = count;
  }

  #advance(followed: FollowedTable): Promise<RouterError | undefined> {
    this.#services!.get(ServiceName.Metrics)
      .count(CounterName.PlatformReads, followed.table);
    return followed.copy.version === undefined
      ? this.#readAll(followed)
      : this.#followOnce(followed, followed.copy.version);
  }

  async #readAll(followed: FollowedTable): Promise<RouterError | undefined> {
    const answer = await this.#services!.get(ServiceName.RowStore)
      .read(followed.table, { timeoutMs: readTimeoutMs });
    if (answer.isErr()) return answer.error;
    const { rows, version } = answer.value;
    this.#noteContact(followed);
    followed.copy.apply({
      version,
      isWhole: true,
      changes: rows.map(toChange),
    });
    this.changed.notify();
  }

  async #followOnce(
    followed: FollowedTable,
    afterVersion: number,
  ): Promise<RouterError | undefined> {
    const { table, copy, signal } = followed;
    const waitMs = this.#followWaitMs(followed);
    const direct = this.#direct.signal;
    const limit = new LimitedSignal({ parents: [signal, direct] });
    const answer = await this.#services!.get(ServiceName.RowStore)
      .follow(table, {
        afterVersion,
        waitMs,
        timeoutMs: waitMs + answerSlackMs,
        signal: limit.signal,
      });
    limit.dispose();
    if (direct.aborted) return;
    if (answer.isErr()) return answer.error;
    const { changes, version } = answer.value;
    this.#noteContact(followed);
    copy.apply({ version, isWhole: false, changes });
    if (changes.length === 0) return;
    this.changed.notify();
    await this.#services!.get(ServiceName.Clock)
      .sleep(this.#coalesceMs(), signal);
  }

  #followWaitMs({ isInContact }: FollowedTable): number {
    // Whether the store answers again is to be known at once.
    if (!isInContact) return 0;
    return this.#isRelaying ? relayingWaitMs : followWaitMs;
  }

  #coalesceMs(): number {
    const { perReader, least, most } = coalesceMs;
    if (this.#isRelaying) return least;
    if (!this.#isDecided) return startCoalesceMs;
    return Math.min(most, Math.max(least, perReader * this.#readerCount));
  }

  async #noteFailure(
    followed: FollowedTable,
    failure: RouterError,
  ): Promise<void> {
    const { table, copy, signal } = followed;
    if (signal.aborted) return;
    const services = this.#services!;
    services.get(ServiceName.Metrics)
      .count(CounterName.PlatformErrors, failure.code);
    const log = services.get(ServiceName.Log);
    if (failure.code === MessageCode.StoreHistoryGone) {
      log.write(LogEvent.TableHistoryGone, {
        table,
        afterVersion: copy.version,
      });
      const reread = await this.#readAll(followed);
      if (reread === undefined) return;
    }
    if (followed.isInContact) {
      log.write(LogEvent.TableFeedLost, {
        table,
        error: failure.message,
        version: copy.version,
      });
    }
    followed.isInContact = false;
    followed.retryDelayMs = Math.min(
      maxRetryDelayMs,
      Math.max(firstRetryDelayMs, followed.retryDelayMs * 2),
    );
    const delayMs = this.#asksForOthers(followed)
      ? followed.retryDelayMs
      : waitingRetryDelayMs;
    const random = services.get(ServiceName.Random).nextFraction();
    await this.#contactRegained.waitAtMost(services.get(ServiceName.Clock), {
      durationMs: delayMs * (0.5 + random),
      seenCount: this.#contactRegained.notifyCount,
      signal,
    });
  }

  /** Of the tables that are out of contact, one asks the store often. */
  #asksForOthers(followed: FollowedTable): boolean {
    const first = [...this.#tables.values()]
      .find(({ isInContact }) => !isInContact);
    return first === followed;
  }

  #noteContact(followed: FollowedTable): void {
    const nowMs = this.#nowMs();
    const silentMs = nowMs - followed.copy.confirmedAtMs;
    followed.copy.confirmedAtMs = nowMs;
    followed.retryDelayMs = 0;
    if (followed.isInContact) return;
    followed.isInContact = true;
    this.#contactRegained.notify();
    this.#services!.get(ServiceName.Log).write(LogEvent.TableFeedEstablished, {
      table: followed.table,
      afterVersion: followed.copy.version,
      silentMs: Number.isFinite(silentMs) ? Math.round(silentMs) : undefined,
    });
    if (silentMs > contactLossMs) followed.copy.reader.onContact?.();
  }

  #nowMs(): number {
    return this.#services!.get(ServiceName.Clock).nowMs();
  }
}

function toChange(row: StoredRow): RowChange {
  return { ...row, isRemoved: false };
}
