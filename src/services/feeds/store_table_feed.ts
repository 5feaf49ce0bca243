/**
 * Keeps copies of the store's tables current. One task per table reads a
 * snapshot of the table, then long-polls the store for changes, and reads a
 * new snapshot when the store has discarded the history after the copy. While
 * another daemon relays the tables, the tasks do not call the store.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import { MessageCode } from "../../diagnostics/messages.ts";
import { EraRelation } from "../../host/store_eras.ts";
import { LimitedSignal } from "../../host/limited_signal.ts";
import type { RowChange, StoredRow } from "../../host/row_store.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import type { RouterError } from "../../types/errors.ts";
import { CounterName } from "../metrics/metrics.ts";
import type { StoreVersion } from "../../types/store_version.ts";
import { TableCopy, type TableUpdate } from "./table_copy.ts";
import {
  type FollowOptions,
  TableFeed,
  type TableUpdates,
} from "./table_feed.ts";
import { createStopController } from "../../streams/stop_controller.ts";
import { TableSource, type UpdateOrigin } from "./update_origin.ts";

/** Longest wait of one long poll; bounds how long a dead connection goes unnoticed, together with the margin below. */
const longPollWaitMs = 2_000;
/** As `longPollWaitMs`, for the first poll after the relay is lost: whether the store can be reached is not known yet. */
const firstLongPollWaitMs = 600;
/** As `longPollWaitMs`, for the daemon that relays tables to the whole fleet. */
const relayLongPollWaitMs = 600;
/** Time that a slow store may take to answer beyond the long poll's wait. */
const answerMarginMs = 600;
/** As `answerMarginMs`, for the daemon that relays tables: a poll without an answer is repeated before the copies are too old to be passed on. */
const relayAnswerMarginMs = 450;
/** Timeout of a read; long enough for a slow store to send a snapshot of a table. */
const readTimeoutMs = 2_000;
/** Delay before the next poll, in which changes gather. It grows with each daemon that reads the store, and is bounded so that a copy stays less than two seconds old. */
const coalesceMs = { perReader: 15, min: 100, max: 1_300 };
/** Longest wait after the start for a daemon that relays tables. */
const relayDiscoveryMs = 1_200;
/** As `coalesceMs`, during relay discovery: all daemons may have started together, and each writes a row about itself. */
const startupCoalesceMs = 500;
/** Mean retry delays; a daemon that reaches the store again is up to date within a second and a half. */
const firstRetryDelayMs = 50;
const maxRetryDelayMs = 700;
/** Mean retry delay of a task that leaves it to the task of another table to probe the store. */
const nonProbingRetryDelayMs = 3_000;
/** As `maxRetryDelayMs` and `nonProbingRetryDelayMs`, while the relay probes the store for the fleet. */
const relayedRetryDelayMs = { probing: 2_000, nonProbing: 6_000 };
/** After an outage longer than this, servers whose entries are missing may still register again. */
const outageMs = 1_500;

interface FollowedTable {
  readonly table: string;
  readonly copy: TableCopy;
  /** Aborted when the last reader has left. */
  readonly stopping: AbortController;
  /** Whether the store, or the relay, answered the last call for this table. */
  isAnswered: boolean;
  /** Who answered last. */
  lastSource: TableSource | undefined;
  /** Zero while the last call was answered. */
  retryDelayMs: number;
  /** The task that updates the copy. */
  task: Promise<void>;
}

function createFollowedTable(table: string): FollowedTable {
  return {
    table,
    copy: new TableCopy(),
    stopping: createStopController(),
    isAnswered: false,
    lastSource: undefined,
    retryDelayMs: 0,
    task: Promise.resolve(),
  };
}

/** Follows tables in the store or through a relay. */
export class StoreTableFeed extends TableFeed {
  override readonly changed = new ChangeSignal();
  override readonly cutOffChanged = new ChangeSignal();
  readonly #tables = new Map<string, FollowedTable>();
  readonly #sourceChanged = new ChangeSignal();
  readonly #logging = createStopController();
  /** Notified when the store answers again for some table. */
  readonly #answersAgain = new ChangeSignal();
  #services: ServiceLookup | undefined;
  /** Aborted when a relay takes over from this daemon's own polls. */
  #polling = createStopController();
  #usesRelay = false;
  #actsAsRelay = false;
  #relayProbesStore = false;
  /** Whether the source of tables, either the relay or the store, has been decided. */
  #isSourceDecided = false;
  /** Instant since which the daemon is cut off; undefined while it is not. */
  #cutOffSinceMs: number | undefined;
  #readerCount = 1;

  override get dependencies(): readonly ServiceName[] {
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
    void this.#logEras(services);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#logging.abort();
    return Promise.resolve();
  }

  override async follow(table: string, options: FollowOptions): Promise<void> {
    const { reader, signal } = options;
    const known = this.#tables.get(table);
    const isFollowed = known !== undefined && !known.stopping.signal.aborted;
    const followed = isFollowed ? known : createFollowedTable(table);
    followed.copy.addReader(reader);
    if (!isFollowed) {
      this.#tables.set(table, followed);
      followed.task = this.#update(followed, options);
    }
    await waitForAbort(signal);
    followed.copy.removeReader(reader);
    if (followed.copy.readerCount > 0) return;
    followed.stopping.abort();
    await followed.task;
  }

  /** Updates the copy of a table until its last reader has left. */
  async #update(
    followed: FollowedTable,
    { readsStoreImmediately }: FollowOptions,
  ): Promise<void> {
    const { signal } = followed.stopping;
    if (!readsStoreImmediately) await this.#waitForSource(signal);
    while (!signal.aborted) {
      if (this.#usesRelay && followed.copy.version !== undefined) {
        await this.#sourceChanged.wait(signal);
        continue;
      }
      const failure = await this.#advance(followed);
      if (failure !== undefined) await this.#handleFailure(followed, failure);
    }
  }

  /** Waits for the decision on the source of tables; uses the store after `relayDiscoveryMs`. */
  async #waitForSource(signal: AbortSignal): Promise<void> {
    const clock = this.#services!.get(ServiceName.Clock);
    const deadlineAtMs = clock.nowMs() + relayDiscoveryMs;
    while (
      !this.#isSourceDecided && !signal.aborted && clock.nowMs() < deadlineAtMs
    ) {
      await this.#sourceChanged.waitAtMost(clock, {
        durationMs: deadlineAtMs - clock.nowMs(),
        seenCount: this.#sourceChanged.notifyCount,
        signal,
      });
    }
    if (!this.#isSourceDecided) this.setUsesRelay(false);
  }

  override versions(): ReadonlyMap<string, StoreVersion | undefined> {
    return new Map(
      [...this.#tables].map(([table, { copy }]) => [table, copy.version]),
    );
  }

  override isCutOff(): boolean {
    return this.#cutOffSinceMs !== undefined;
  }

  override remainingFreshMs(maxAgeMs: number): number {
    const confirmedAtMs = [...this.#tables.values()]
      .map(({ copy }) => copy.confirmedAtMs);
    return Math.min(...confirmedAtMs) + maxAgeMs - this.#nowMs();
  }

  override updatesAfter(
    versions: ReadonlyMap<string, StoreVersion | undefined>,
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
      if (this.#isOlderEra(update)) continue;
      const { era } = update.version;
      const source = TableSource.Granter;
      const origin = this.#recordAnswer(followed, { source, era });
      followed.copy.apply(update, origin);
    }
    if (updates.size > 0) this.changed.notify();
  }

  override applyFromPeer(updates: TableUpdates): void {
    for (const [table, update] of updates) {
      const copy = this.#tables.get(table)?.copy;
      if (copy === undefined || this.#isOlderEra(update)) continue;
      copy.apply(update, {
        source: TableSource.Peer,
        era: update.version.era,
        silentMs: this.#silentMsOf(copy),
      });
    }
    if (updates.size > 0) this.changed.notify();
  }

  override setUsesRelay(usesRelay: boolean): void {
    // A sync request to the previous granter may end after this daemon's term
    // as granter has begun. The daemon that relays tables reads the store.
    if (usesRelay && this.#actsAsRelay) return;
    if (this.#isSourceDecided && this.#usesRelay === usesRelay) return;
    this.#isSourceDecided = true;
    this.#usesRelay = usesRelay;
    this.#services!.get(ServiceName.Log)
      .write(usesRelay ? LogEvent.TablesRelayed : LogEvent.TablesReadFromStore);
    if (usesRelay) {
      this.#polling.abort();
      this.#polling = createStopController();
    }
    this.#updateCutOff();
    this.#sourceChanged.notify();
  }

  override setActsAsRelay(actsAsRelay: boolean): void {
    this.#actsAsRelay = actsAsRelay;
    if (actsAsRelay) this.setUsesRelay(false);
  }

  override setRelayProbesStore(relayProbesStore: boolean): void {
    if (this.#relayProbesStore === relayProbesStore) return;
    this.#relayProbesStore = relayProbesStore;
    // A task may wait for as long as the relay was to probe the store.
    if (!relayProbesStore) this.#answersAgain.notify();
  }

  override setReaderCount(count: number): void {
    this.#readerCount = count;
  }

  #advance(followed: FollowedTable): Promise<RouterError | undefined> {
    this.#services!.get(ServiceName.Metrics)
      .count(CounterName.PlatformReads, followed.table);
    return followed.copy.version === undefined
      ? this.#readSnapshot(followed)
      : this.#pollOnce(followed, followed.copy.version);
  }

  async #readSnapshot(
    followed: FollowedTable,
  ): Promise<RouterError | undefined> {
    const answer = await this.#services!.get(ServiceName.RowStore)
      .read(followed.table, { timeoutMs: readTimeoutMs });
    if (answer.isErr()) return answer.error;
    const { rows, version } = answer.value;
    const origin = this.#recordAnswer(followed, {
      source: TableSource.Store,
      era: version.era,
    });
    followed.copy.apply({
      version,
      isSnapshot: true,
      changes: rows.map(toChange),
    }, origin);
    this.changed.notify();
  }

  async #pollOnce(
    followed: FollowedTable,
    afterVersion: StoreVersion,
  ): Promise<RouterError | undefined> {
    const { table, copy, stopping: { signal } } = followed;
    const waitMs = this.#longPollWaitMs(followed);
    const polling = this.#polling.signal;
    const limit = new LimitedSignal({ parents: [signal, polling] });
    const answer = await this.#services!.get(ServiceName.RowStore)
      .follow(table, {
        afterVersion,
        waitMs,
        timeoutMs: waitMs +
          (this.#actsAsRelay ? relayAnswerMarginMs : answerMarginMs),
        signal: limit.signal,
      });
    limit.dispose();
    if (polling.aborted) return;
    if (answer.isErr()) return answer.error;
    const { changes, version } = answer.value;
    const origin = this.#recordAnswer(followed, {
      source: TableSource.Store,
      era: version.era,
    });
    copy.apply({ version, isSnapshot: false, changes }, origin);
    if (changes.length === 0) return;
    this.changed.notify();
    await this.#services!.get(ServiceName.Clock)
      .sleep(this.#coalesceMs(), signal);
  }

  #longPollWaitMs({ isAnswered, lastSource }: FollowedTable): number {
    // After an outage, the first poll returns without waiting for changes, so
    // that the daemon knows immediately whether the store answers again.
    if (!isAnswered) return 0;
    if (this.#actsAsRelay) return relayLongPollWaitMs;
    return lastSource === TableSource.Store
      ? longPollWaitMs
      : firstLongPollWaitMs;
  }

  #coalesceMs(): number {
    const { perReader, min, max } = coalesceMs;
    if (this.#actsAsRelay) return min;
    if (!this.#isSourceDecided) return startupCoalesceMs;
    return Math.min(max, Math.max(min, perReader * this.#readerCount));
  }

  async #handleFailure(
    followed: FollowedTable,
    failure: RouterError,
  ): Promise<void> {
    const { table, copy, stopping: { signal } } = followed;
    if (signal.aborted) return;
    const services = this.#services!;
    services.get(ServiceName.Metrics)
      .count(CounterName.PlatformErrors, failure.code);
    const log = services.get(ServiceName.Log);
    if (failure.code === MessageCode.StoreHistoryDiscarded) {
      log.write(LogEvent.TableHistoryDiscarded, {
        table,
        afterVersion: copy.version?.number,
      });
      const readFailure = await this.#readSnapshot(followed);
      if (readFailure === undefined) return;
    }
    if (followed.isAnswered) {
      log.write(LogEvent.TableFeedLost, {
        table,
        error: failure.message,
        version: copy.version?.number,
      });
    }
    followed.isAnswered = false;
    followed.retryDelayMs = Math.min(
      maxRetryDelayMs,
      Math.max(firstRetryDelayMs, followed.retryDelayMs * 2),
    );
    this.#updateCutOff();
    const delayMs = this.#chooseRetryDelayMs(followed);
    const randomFraction = services.get(ServiceName.Random).nextFraction();
    await this.#answersAgain.waitAtMost(services.get(ServiceName.Clock), {
      durationMs: delayMs * (0.5 + randomFraction),
      seenCount: this.#answersAgain.notifyCount,
      signal,
    });
  }

  #chooseRetryDelayMs(followed: FollowedTable): number {
    const isRelayed = this.#relayProbesStore && !this.#actsAsRelay;
    if (this.#isProbing(followed)) {
      return isRelayed ? relayedRetryDelayMs.probing : followed.retryDelayMs;
    }
    return isRelayed ? relayedRetryDelayMs.nonProbing : nonProbingRetryDelayMs;
  }

  /** Whether this table's task probes the store; one task does so for all tables without an answer. */
  #isProbing(followed: FollowedTable): boolean {
    const probing = [...this.#tables.values()]
      .find(({ isAnswered }) => !isAnswered);
    return probing === followed;
  }

  /** Records that the source answered for a table; returns the origin of what it sent. */
  #recordAnswer(
    followed: FollowedTable,
    { source, era }: Pick<UpdateOrigin, "source" | "era">,
  ): UpdateOrigin {
    const silentMs = this.#silentMsOf(followed.copy);
    followed.copy.confirmedAtMs = this.#nowMs();
    followed.lastSource = source;
    followed.retryDelayMs = 0;
    this.#updateCutOff();
    if (!followed.isAnswered) {
      followed.isAnswered = true;
      this.#answersAgain.notify();
      this.#services!.get(ServiceName.Log)
        .write(LogEvent.TableFeedEstablished, {
          table: followed.table,
          afterVersion: followed.copy.version?.number,
          silentMs,
        });
      if (silentMs === undefined || silentMs > outageMs) {
        followed.copy.noteStoreReachable();
      }
    }
    return { source, era, silentMs };
  }

  /** Notes the era of an update from another daemon; returns true if a newer one is known. */
  #isOlderEra({ version }: TableUpdate): boolean {
    const { eras } = this.#services!.get(ServiceName.RowStore);
    return eras.note(version.era, this.#nowMs()) === EraRelation.Older;
  }

  /** Logs each new era, and the first answer without one. */
  async #logEras(services: ServiceLookup): Promise<void> {
    const { eras } = services.get(ServiceName.RowStore);
    const log = services.get(ServiceName.Log);
    const { signal } = this.#logging;
    let logged: number | undefined;
    while (!signal.aborted) {
      await eras.changed.wait(signal);
      if (signal.aborted) return;
      if (eras.previous === undefined || eras.current === logged) {
        log.write(LogEvent.StoreEraMissing, { era: eras.current });
        continue;
      }
      services.get(ServiceName.Metrics).count(CounterName.StoreErasBegun);
      log.write(LogEvent.StoreEraBegun, {
        era: eras.current,
        eraBefore: eras.previous,
        versions: [...this.#tables]
          .map(([table, { copy }]) => `${table} ${copy.version?.number}`)
          .join(),
      });
      logged = eras.current;
    }
  }

  /** Time since a copy was last known to be current; undefined before the first answer. */
  #silentMsOf({ confirmedAtMs }: TableCopy): number | undefined {
    const silentMs = this.#nowMs() - confirmedAtMs;
    return Number.isFinite(silentMs) ? Math.round(silentMs) : undefined;
  }

  #updateCutOff(): void {
    const failing = this.#usesRelay
      ? []
      : [...this.#tables.values()].filter(({ retryDelayMs }) =>
        retryDelayMs > 0
      );
    const isCutOff = failing.length > 0;
    if (isCutOff === this.isCutOff()) return;
    const nowMs = this.#nowMs();
    const log = this.#services!.get(ServiceName.Log);
    if (isCutOff) {
      log.write(LogEvent.TablesCutOff, {
        tables: failing.map(({ table }) => table).join(),
        version: failing[0]!.copy.version?.number,
      });
    } else {
      log.write(LogEvent.TablesConnected, {
        isRelayed: this.#usesRelay,
        cutOffMs: Math.round(nowMs - this.#cutOffSinceMs!),
      });
    }
    this.#cutOffSinceMs = isCutOff ? nowMs : undefined;
    this.cutOffChanged.notify();
  }

  #nowMs(): number {
    return this.#services!.get(ServiceName.Clock).nowMs();
  }
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    else signal.addEventListener("abort", () => resolve(), { once: true });
  });
}

function toChange(row: StoredRow): RowChange {
  return { ...row, isRemoved: false };
}
