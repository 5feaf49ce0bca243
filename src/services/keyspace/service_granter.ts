/**
 * Grants the keys of one service to its servers during one term: plans moves,
 * records them in the store before any grant, and publishes the new owners once
 * the servers have accepted their grants.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { StoredRow } from "../../host/row_store.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import { incarnationOf, type ServerEntry } from "../../types/routing.ts";
import { compareStoreVersions } from "../../types/store_version.ts";
import { CounterName } from "../metrics/metrics.ts";
import { assignKeyRoles, KeyRole } from "../warmup/cold_owners.ts";
import {
  decodeKeysRow,
  divideRanges,
  encodeRanges,
  FleetRowKind,
  fleetTable,
  type KeysRow,
  keysRowKey,
  parseKeysRowKey,
  type ServerRef,
  tryClassifyRow,
} from "./fleet_rows.ts";
import { type GranterLease, LeaseState } from "./granter_lease.ts";
import {
  grantTimeoutMs,
  type HoldTiming,
  longestHoldMs,
} from "./hold_timing.ts";
import { HolderTask } from "./holder_task.ts";
import { KeyLoad } from "./key_load.ts";
import { KeyRanges } from "./key_ranges.ts";
import { BalanceScope, isPending, planKeyMoves } from "./plan_key_moves.ts";
import { ServerSpeeds } from "./server_speeds.ts";

/** Maximum time between two plans. */
const planIntervalMs = 250;
/** Minimum time between plans that relieve servers with far more than their fair load. */
const reliefIntervalMs = 500;
/** Minimum time between plans that move keys only to balance the load. */
const balanceIntervalMs = 1_000;
/** Delay in which further answers to grants arrive, so that they are published together. */
const publishDelayMs = 15;
/** Delay after a failed call to the store. */
const storeRetryDelayMs = 200;
/** Timeout of a read; long enough for a slow store to return the whole fleet table. */
const readTimeoutMs = 1_500;
/** Options of a service granter. */
export interface ServiceGranterOptions {
  readonly service: string;
  readonly lease: GranterLease;
  /** The ranges of this daemon's term before, if nobody else can have granted anything since. */
  readonly rangesBefore?: KeyRanges | undefined;
  readonly nextFence: () => number;
  readonly holdTiming: () => HoldTiming;
  readonly signal: AbortSignal;
}

/** Grants the keys of one service. */
export class ServiceGranter {
  readonly #services: ServiceLookup;
  readonly #options: ServiceGranterOptions;
  readonly #changed = new ChangeSignal();
  readonly #holders = new Map<string, HolderTask>();
  readonly #load: KeyLoad;
  readonly #speeds: ServerSpeeds;
  #ranges: KeyRanges | undefined;
  #balancedAtMs = -Infinity;
  /** The ranges that each row of the store holds, as JSON without the ends of holds. */
  readonly #recordedTexts: string[] = [];

  constructor(services: ServiceLookup, options: ServiceGranterOptions) {
    this.#services = services;
    this.#options = options;
    const nowMs = services.get(ServiceName.Clock).nowMs();
    this.#load = new KeyLoad(nowMs);
    this.#speeds = new ServerSpeeds(nowMs);
  }

  /** Adds counts of requests, by bucket. */
  addLoad(counts: readonly (readonly [number, number])[]): void {
    for (const [bucket, count] of counts) this.#load.add(bucket, count);
  }

  /** Renews every hold immediately. */
  renewAll(): void {
    for (const holder of this.#holders.values()) holder.renewAll();
  }

  /** The ranges, once they are known. */
  get ranges(): KeyRanges | undefined {
    return this.#ranges;
  }

  /** Runs until the term ends. */
  async run(): Promise<void> {
    const { signal, rangesBefore, nextFence } = this.#options;
    const clock = this.#services.get(ServiceName.Clock);
    const directory = this.#services.get(ServiceName.Directory);
    this.#ranges = rangesBefore === undefined
      ? await this.#readRecordedRanges()
      : KeyRanges.continue(rangesBefore, nextFence);
    void this.#wakeOnDirectoryChanges();
    while (!signal.aborted) {
      const seenCount = this.#changed.notifyCount;
      if (directory.isLoaded()) await this.#updateRanges(this.#ranges!);
      await this.#changed.waitAtMost(clock, {
        durationMs: planIntervalMs,
        seenCount,
        signal,
      });
      if (!signal.aborted) await clock.sleep(publishDelayMs, signal);
    }
    await Promise.all([...this.#holders.values()].map((task) => task.ended));
  }

  /** Reads the ranges that earlier granters have recorded. */
  async #readRecordedRanges(): Promise<KeyRanges | undefined> {
    const { service, lease, nextFence, signal } = this.#options;
    const clock = this.#services.get(ServiceName.Clock);
    while (!signal.aborted) {
      const answer = await this.#services.get(ServiceName.RowStore)
        .read(fleetTable, { timeoutMs: readTimeoutMs });
      if (answer.isOk() && answer.value.version.era === lease.era) {
        const rows = answer.value.rows.filter(({ key }) =>
          tryClassifyRow(key) === FleetRowKind.Keys &&
          parseKeysRowKey(key).service === service
        ).map((row) => this.#chooseNewest(row));
        const blockedUntilMs = this.#unknownHoldsEndAtMs(rows);
        return new KeyRanges({
          nextFence,
          records: rows.flatMap(({ ranges }) => ranges)
            .sort((a, b) => a.first - b.first),
          inheritedEndsAtMs: Math.max(
            blockedUntilMs,
            lease.previousHolderEndedAtMs + longestHoldMs - grantTimeoutMs,
          ),
          toLocalTime: (storeMs) => lease.toLocalTime(storeMs),
          blockedUntilMs,
        });
      }
      await clock.sleep(storeRetryDelayMs, signal);
    }
  }

  /** The newest content of a row of the table that this daemon knows; the store may have lost it. */
  #chooseNewest(row: StoredRow): KeysRow {
    const read = decodeKeysRow(row);
    const known = this.#services.get(ServiceName.KeySpace)
      .tryGetRow(parseKeysRowKey(row.key));
    const isNewer = known !== undefined &&
      compareStoreVersions(known.writtenAt, read.writtenAt) > 0;
    return isNewer ? known : read;
  }

  /** Until when servers may have holds that the rows of the table don't show. */
  #unknownHoldsEndAtMs(rows: readonly KeysRow[]): number {
    const { service, lease } = this.#options;
    const { eras } = this.#services.get(ServiceName.RowStore);
    // Rows of earlier releases have no era.
    const isShown = rows.every(({ writtenAt }) =>
      writtenAt.era === lease.era ||
      (writtenAt.era === 0 && eras.changedAtMs === undefined)
    );
    const endsAtMs = isShown || Number.isFinite(lease.unknownHoldsEndAtMs)
      ? lease.unknownHoldsEndAtMs
      : lease.allHoldsEndAtMs;
    const waitMs = endsAtMs -
      this.#services.get(ServiceName.Clock).nowMs();
    if (waitMs > 0) {
      this.#services.get(ServiceName.Log).write(LogEvent.HoldsWaitedOut, {
        service,
        waitMs: Math.round(waitMs),
        era: lease.era,
      });
    }
    return endsAtMs;
  }

  /** Plans moves, records the ranges, and wakes the holder tasks, which send grants and releases. */
  async #updateRanges(ranges: KeyRanges): Promise<void> {
    const clock = this.#services.get(ServiceName.Clock);
    const nowMs = clock.nowMs();
    ranges.removeEndedHolds(nowMs);
    this.#planMoves(ranges, nowMs);
    for (const range of ranges.all) {
      if (range.isGranted) range.isServing = true;
    }
    ranges.merge();
    this.#startHolders(ranges);
    await this.#recordRanges(ranges);
    for (const holder of this.#holders.values()) holder.wake();
  }

  #planMoves(ranges: KeyRanges, nowMs: number): void {
    const { service } = this.#options;
    if (!this.#isDirectoryTrusted(ranges)) return;
    const scope = this.#chooseScope(ranges, nowMs);
    this.#load.decay(nowMs);
    const { servers, keeping } = this.#divideByWarmth();
    const capacities = this.#services.get(ServiceName.Capacities);
    this.#speeds.follow(
      this.#services.get(ServiceName.Directory).usableServers(service),
      { nowMs, estimateOf: (server) => capacities.estimateOf(server) },
    );
    const movable = ranges.all.filter(({ hold }) =>
      hold === undefined || !keeping.has(incarnationOf(hold.server))
    );
    const moves = planKeyMoves({
      ranges: movable,
      servers,
      speedOf: (incarnation) => this.#speeds.speedOf(incarnation),
      weights: this.#load.snapshot(),
      scope,
    });
    if (moves.length === 0) return;
    // Keys without a usable owner are assigned before any load is balanced.
    const usable = new Set(servers.map(incarnationOf));
    const isBalancing = movable.every(({ hold }) =>
      hold !== undefined && usable.has(incarnationOf(hold.server))
    );
    if (isBalancing) this.#balancedAtMs = nowMs;
    for (const move of moves) ranges.move(move);
    this.#services.get(ServiceName.Metrics)
      .count(CounterName.MovesStarted, service, moves.length);
    this.#services.get(ServiceName.Log).write(LogEvent.KeysReassigned, {
      service,
      moveCount: moves.length,
      keyCount: moves.reduce(
        (sum, { first, last }) => sum + last - first + 1,
        0,
      ),
      isBalancing,
      serverCount: servers.length,
    });
  }

  /** The servers that may get keys, and the incarnations that only keep theirs, because they are cold. */
  #divideByWarmth(): {
    readonly servers: readonly ServerEntry[];
    readonly keeping: ReadonlySet<string>;
  } {
    const services = this.#services;
    const usable = services.get(ServiceName.Directory)
      .usableServers(this.#options.service);
    const coldServers = services.get(ServiceName.ColdServers);
    const roles = assignKeyRoles(usable.map((server) => ({
      slotCount: server.slotCount,
      coldLeftMs: coldServers.coldLeftMs(server),
    })));
    const withRole = (role: KeyRole) =>
      usable.filter((_, index) => roles[index] === role);
    return {
      servers: withRole(KeyRole.Receives),
      keeping: new Set(withRole(KeyRole.Keeps).map(incarnationOf)),
    };
  }

  /** While moves are in progress, only servers with far more than their fair load are relieved. */
  #chooseScope(ranges: KeyRanges, nowMs: number): BalanceScope {
    const sinceMs = nowMs - this.#balancedAtMs;
    if (sinceMs >= balanceIntervalMs && !ranges.all.some(isPending)) {
      return BalanceScope.All;
    }
    return sinceMs >= reliefIntervalMs
      ? BalanceScope.SeverelyOverloaded
      : BalanceScope.None;
  }

  /** False while ranges have holders and running servers may be missing, because they have yet to register again. */
  #isDirectoryTrusted(ranges: KeyRanges): boolean {
    if (this.#services.get(ServiceName.Directory).isComplete()) return true;
    return ranges.all.every(({ hold }) => hold === undefined);
  }

  /** Writes the rows whose ranges differ from those in the store. */
  async #recordRanges(ranges: KeyRanges): Promise<void> {
    const { service, lease, signal } = this.#options;
    const clock = this.#services.get(ServiceName.Clock);
    const recordsByRow = divideRanges(
      ranges.toRecords((localMs) => lease.toStoreTime(localMs)),
    );
    // Rows are compared without the ends of holds: each call takes a new sample
    // of the store's clock, so an unchanged end differs by a few milliseconds.
    const rowTexts = divideRanges(ranges.toRecords(() => 0))
      .map((records) => JSON.stringify(records));
    const writes = recordsByRow.flatMap((records, rowIndex) =>
      rowTexts[rowIndex] === this.#recordedTexts[rowIndex] ? [] : [{
        table: fleetTable,
        key: keysRowKey({ service, index: rowIndex }),
        value: encodeRanges(records, lease.era),
      }]
    );
    while (!signal.aborted && writes.length > 0) {
      const written = await lease.renew(writes);
      if (written.isOk() && written.value === LeaseState.Held) {
        this.#recordedTexts.splice(0, rowTexts.length, ...rowTexts);
        for (const range of ranges.all) range.isRecorded = true;
        return;
      }
      if (written.isOk() && written.value === LeaseState.HeldByOther) return;
      await clock.sleep(storeRetryDelayMs, signal);
    }
  }

  #startHolders(ranges: KeyRanges): void {
    for (const { hold, formerHolds } of ranges.all) {
      if (hold !== undefined) this.#startHolder(ranges, hold.server);
      for (const { server } of formerHolds) this.#startHolder(ranges, server);
    }
  }

  #startHolder(ranges: KeyRanges, server: ServerRef): void {
    const incarnation = incarnationOf(server);
    if (this.#holders.has(incarnation)) return;
    const holder = new HolderTask(this.#services, {
      ...this.#options,
      server,
      ranges,
      onProgress: () => this.#changed.notify(),
    });
    this.#holders.set(incarnation, holder);
    void holder.ended.then(() => this.#holders.delete(incarnation));
  }

  async #wakeOnDirectoryChanges(): Promise<void> {
    const { signal } = this.#options;
    const { changed } = this.#services.get(ServiceName.Directory);
    while (!signal.aborted) {
      await changed.wait(signal);
      this.#changed.notify();
    }
  }
}
