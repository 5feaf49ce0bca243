/** Keeps the owners of keys and the daemons of the fleet current from the store's table feed. */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { StoredRow } from "../../host/row_store.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import { assertNever } from "../../types/errors.ts";
import { followDependencies, FollowTask } from "../feeds/follow_task.ts";
import {
  type DaemonRecord,
  daemonRowKey,
  decodeJson,
  decodeKeysRow,
  encodeJson,
  FleetRowKind,
  fleetTable,
  type GranterRecord,
  type KeysRow,
  keysRowCount,
  type KeysRowId,
  keysRowIndexOf,
  parseDaemonRowKey,
  parseKeysRowKey,
  type RangeRecord,
  tryClassifyRow,
} from "./fleet_rows.ts";
import {
  compareStoreVersions,
  type StoreVersion,
} from "../../types/store_version.ts";
import { type KeyOwnership, KeySpace, OwnershipState } from "./key_space.ts";

/** Timeout of the write of the daemon's row; long enough for a slow store. */
const registrationTimeoutMs = 1_500;
/** Delay after a failed write of the daemon's row. */
const registrationRetryDelayMs = 1_000;
/** Longest delay before the row is written again after the store came back from an older copy. */
const registrationSpreadMs = 1_000;

const unowned: KeyOwnership = {
  state: OwnershipState.Unowned,
  server: undefined,
  formerServers: [],
  movingMs: 0,
};

/** A daemon with at least this many times the cores of another is preferred as key granter. */
const strongerDaemonFactor = 2;

/** A range, and the time of its last change of state. */
interface KnownRange extends RangeRecord {
  readonly changedAtMs: number;
}

/** A daemon's record, and the version of its row. */
interface KnownDaemon {
  readonly record: DaemonRecord;
  readonly version: StoreVersion;
}

/** The decoded content of a row that holds owners. */
interface OwnersRow extends KeysRow {
  readonly ranges: readonly KnownRange[];
}

/** Implements `KeySpace` from the rows of the fleet table. */
export class FollowedKeySpace extends KeySpace {
  override readonly changed = new ChangeSignal();
  readonly #following = new FollowTask();
  /** Decoded rows by service, at the index of the row. */
  readonly #ownersByService = new Map<string, OwnersRow[]>();
  /** Version of the newest row, by service. */
  readonly #versionByService = new Map<string, number>();
  readonly #daemons = new Map<string, KnownDaemon>();
  readonly #daemonId: string;
  readonly #ownRecord: DaemonRecord;
  #granter: GranterRecord | undefined;
  #isLoaded = false;
  #services: ServiceLookup | undefined;

  constructor(
    options: {
      readonly daemonId: string;
      readonly coreCount: number;
      /** `host:port` under which peers reach this daemon. */
      readonly peerAddress: string;
    },
  ) {
    super();
    this.#daemonId = options.daemonId;
    this.#ownRecord = {
      coreCount: options.coreCount,
      address: options.peerAddress,
    };
  }

  override get dependencies(): readonly ServiceName[] {
    return [...followDependencies, ServiceName.RowStore];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    this.#following.start(services, {
      table: fleetTable,
      readsStoreImmediately: true,
      reader: {
        onRows: (rows, { era }) => {
          this.#isLoaded = true;
          // The store may have lost the row since it was written.
          this.#daemons.delete(daemonRowKey(this.#daemonId));
          this.#apply(rows, era);
        },
        onChanges: (changes, { era }) => this.#apply(changes, era),
      },
    });
    void this.#registerDaemon(services);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return this.#following.stop();
  }

  override isLoaded(service: string): boolean {
    const rows = this.#ownersByService.get(service) ?? [];
    return rows.filter(Boolean).length === keysRowCount;
  }

  override ownerOf(service: string, key: number): KeyOwnership {
    const row = this.#ownersByService.get(service)?.[keysRowIndexOf(key)];
    const range = row && findRange(row.ranges, key);
    if (range?.target === undefined) return unowned;
    if (range.isServing) {
      return {
        ...unowned,
        state: OwnershipState.Owned,
        server: range.target,
      };
    }
    return {
      state: OwnershipState.Moving,
      server: range.target,
      formerServers: range.former.map(({ server }) => server),
      movingMs: this.#nowMs() - range.changedAtMs,
    };
  }

  override versionOf(service: string): number {
    return this.#versionByService.get(service) ?? 0;
  }

  override tryGetRow({ service, index }: KeysRowId): KeysRow | undefined {
    return this.#ownersByService.get(service)?.[index];
  }

  override daemonCount(): number {
    return Math.max(1, this.#daemons.size);
  }

  override daemonIds(): readonly string[] {
    return [...this.#daemons.keys()].map(parseDaemonRowKey);
  }

  override peerAddresses(): readonly string[] {
    const addresses = [...this.#daemons.values()]
      .flatMap(({ record: { address } }) => address ?? []);
    return [...new Set(addresses)]
      .filter((address) => address !== this.#ownRecord.address);
  }

  override hasStrongerDaemon(): boolean {
    return [...this.#daemons.values()].some(({ record: { coreCount } }) =>
      coreCount >= this.#ownRecord.coreCount * strongerDaemonFactor
    );
  }

  override comparableDaemonCount(): number {
    const comparable = [...this.#daemons.values()]
      .filter(({ record: { coreCount } }) =>
        coreCount * strongerDaemonFactor > this.#ownRecord.coreCount
      );
    return Math.max(1, comparable.length);
  }

  override granter(): GranterRecord | undefined {
    return this.#granter;
  }

  /** Writes this daemon's row whenever the table doesn't say what this process would write. */
  async #registerDaemon(services: ServiceLookup): Promise<void> {
    const { signal } = this.#following;
    const clock = services.get(ServiceName.Clock);
    const { eras } = services.get(ServiceName.RowStore);
    const key = daemonRowKey(this.#daemonId);
    while (!this.#isLoaded && !signal.aborted) await this.changed.wait(signal);
    while (!signal.aborted) {
      if (this.#isOwnRowCurrent(key)) {
        await this.changed.wait(signal);
        continue;
      }
      if (eras.changedAtMs !== undefined) {
        // Many daemons may have lost their rows at the same time.
        const fraction = services.get(ServiceName.Random).nextFraction();
        await clock.sleep(fraction * registrationSpreadMs, signal);
      }
      const written = await services.get(ServiceName.RowStore).transact({
        conditions: [{
          table: fleetTable,
          key,
          version: this.#daemons.get(key)?.version ??
            { era: eras.current, number: 0 },
        }],
        writes: [{
          table: fleetTable,
          key,
          value: encodeJson(this.#ownRecord),
        }],
      }, { timeoutMs: registrationTimeoutMs });
      if (written.isOk() && written.value.isApplied) {
        this.#daemons.set(key, {
          record: this.#ownRecord,
          version: written.value.version,
        });
        continue;
      }
      await clock.sleep(registrationRetryDelayMs, signal);
    }
  }

  #isOwnRowCurrent(key: string): boolean {
    const { coreCount, address } = this.#daemons.get(key)?.record ?? {};
    return coreCount === this.#ownRecord.coreCount &&
      address === this.#ownRecord.address;
  }

  #apply(rows: readonly StoredRow[], era: number): void {
    for (const row of rows) {
      try {
        this.#applyRow(row, era);
      } catch (error) {
        this.#services!.get(ServiceName.Log)
          .write(LogEvent.FleetRowMalformed, {
            row: row.key,
            reason: String(error),
          });
      }
    }
    this.changed.notify();
  }

  /** Adds the time of the last change of state to each range. */
  #addChangeTimes(
    before: readonly KnownRange[],
    records: readonly RangeRecord[],
  ): KnownRange[] {
    const nowMs = this.#nowMs();
    return records.map((record) => {
      const known = findRange(before, record.first);
      const isSame = known !== undefined &&
        known.isServing === record.isServing &&
        known.target?.id === record.target?.id &&
        known.target?.bornAtMs === record.target?.bornAtMs;
      return { ...record, changedAtMs: isSame ? known.changedAtMs : nowMs };
    });
  }

  #nowMs(): number {
    return this.#services!.get(ServiceName.Clock).nowMs();
  }

  #applyRow(row: StoredRow, era: number): void {
    const kind = tryClassifyRow(row.key);
    switch (kind) {
      case undefined:
        return;
      case FleetRowKind.Daemon:
        this.#daemons.set(row.key, {
          record: decodeJson(row) as DaemonRecord,
          version: { era, number: row.version },
        });
        return;
      case FleetRowKind.Granter: {
        const record = decodeJson(row) as GranterRecord;
        // An older copy of the store names an earlier granter.
        if (record.term < (this.#granter?.term ?? 0)) return;
        this.#granter = record;
        return;
      }
      case FleetRowKind.Keys: {
        const { service, index: rowIndex } = parseKeysRowKey(row.key);
        const rows = this.#ownersByService.get(service) ?? [];
        const before = rows[rowIndex];
        const { writtenAt, ranges } = decodeKeysRow(row);
        const isKnown = before !== undefined &&
          compareStoreVersions(writtenAt, before.writtenAt) <= 0;
        if (isKnown) return;
        this.#ownersByService.set(service, rows);
        this.#versionByService.set(service, row.version);
        rows[rowIndex] = {
          writtenAt,
          ranges: this.#addChangeTimes(before?.ranges ?? [], ranges),
        };
        return;
      }
      default:
        assertNever(kind);
    }
  }
}

/** Finds the range of a key in sorted ranges by binary search. */
function findRange<T extends RangeRecord>(
  ranges: readonly T[],
  key: number,
): T | undefined {
  let low = 0;
  let high = ranges.length - 1;
  while (low < high) {
    const middle = (low + high + 1) >>> 1;
    if (ranges[middle]!.first <= key) low = middle;
    else high = middle - 1;
  }
  return ranges[low];
}
