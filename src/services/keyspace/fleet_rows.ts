/**
 * Format of the rows that the router itself keeps in the store: the owners of
 * keys, the daemons of the fleet, the address of the key granter, and its lease.
 */
import type { StoredRow } from "../../host/row_store.ts";
import type { StoreVersion } from "../../types/store_version.ts";
import { keyCount, type KeyInterval } from "../../types/routing.ts";

/** The table that every daemon follows. */
export const fleetTable = "skylarkridge-fleet";
/** The table of the lease, which only daemons that compete for it read. */
export const leaseTable = "skylarkridge-lease";
/** Key of the only row of the lease table. */
export const leaseKey = "key-granter";

const keysPrefix = "keys/";
const daemonPrefix = "daemon/";
const granterKey = "granter";

/** The kinds of rows in the fleet table. */
export enum FleetRowKind {
  /** Owners of a part of a service's keys. */
  Keys = "keys",
  /** One daemon of the fleet. */
  Daemon = "daemon",
  /** The address and the term of the key granter. */
  Granter = "granter",
}

/** What a daemon publishes about itself. */
export interface DaemonRecord {
  /** Processor cores that the daemon may use. */
  readonly coreCount: number;
  /** `host:port` under which peers reach the daemon; missing in rows of earlier releases. */
  readonly address?: string;
}

/** One incarnation of a backend server, as rows refer to it. */
export interface ServerRef {
  readonly id: string;
  readonly bornAtMs: number;
  readonly address: string;
}

/** The ownership of some consecutive keys. */
export interface RangeRecord extends KeyInterval {
  /** The server that is to own the keys; undefined when no server is available. */
  readonly target: ServerRef | undefined;
  /** The target has accepted a grant, so requests may be sent to it. */
  readonly isServing: boolean;
  /** Previous owners that may still hold the keys. */
  readonly former: readonly FormerHolder[];
}

/** A previous owner of keys, and the latest time at which its hold can end. */
export interface FormerHolder {
  readonly server: ServerRef;
  /** By the store's clock. */
  readonly endsAtStoreMs: number;
}

/** The address of the key granter, and its term. */
export interface GranterRecord {
  readonly term: number;
  /** `host:port`. */
  readonly address: string;
}

/** Keys whose owners are stored in one row; few enough that a move of neighbouring keys rewrites little data. */
const keysPerRow = 4_096;
/** Number of rows that hold the owners of one service's keys. */
export const keysRowCount = keyCount / keysPerRow;

/** Identifies a row that holds the owners of a part of a service's keys. */
export interface KeysRowId {
  readonly service: string;
  /** From 0 to `keysRowCount - 1`, in the order of the keys. */
  readonly index: number;
}

/** The key of a row that holds owners. */
export function keysRowKey({ service, index: rowIndex }: KeysRowId): string {
  return `${keysPrefix}${service}/${rowIndex}`;
}

/** Parses the key of a row that holds owners. */
export function parseKeysRowKey(rowKey: string): KeysRowId {
  const slash = rowKey.lastIndexOf("/");
  return {
    service: rowKey.slice(keysPrefix.length, slash),
    index: Number(rowKey.slice(slash + 1)),
  };
}

/** The index of the row that holds the owner of a key. */
export function keysRowIndexOf(key: number): number {
  return Math.floor(key / keysPerRow);
}

/** The key of a daemon's row. */
export function daemonRowKey(daemonId: string): string {
  return `${daemonPrefix}${daemonId}`;
}

/** The daemon's id in the key of its row. */
export function parseDaemonRowKey(rowKey: string): string {
  return rowKey.slice(daemonPrefix.length);
}

/** The key of the row with the key granter's address. */
export function granterRowKey(): string {
  return granterKey;
}

/** The kind of a row of the fleet table; undefined for a kind that a newer release has added. */
export function tryClassifyRow(key: string): FleetRowKind | undefined {
  if (key.startsWith(keysPrefix)) return FleetRowKind.Keys;
  if (key.startsWith(daemonPrefix)) return FleetRowKind.Daemon;
  return key === granterKey ? FleetRowKind.Granter : undefined;
}

/** JSON form of the ranges: each server is listed once, and ranges refer to servers by index. */
interface WireRanges {
  /** The era of the store in which the row was written; missing in rows of earlier releases. */
  readonly era?: number;
  readonly servers: readonly (readonly [string, number, string])[];
  /** First key, index of the target or -1, whether the target is serving, and index and end of each former holder. */
  readonly ranges:
    readonly (readonly [number, number, 0 | 1, [number, number][]])[];
}

/** Divides ranges among the rows; the ranges must cover all keys in order. */
export function divideRanges(records: readonly RangeRecord[]): RangeRecord[][] {
  return Array.from({ length: keysRowCount }, (_, rowIndex) => {
    const start = rowIndex * keysPerRow;
    const end = start + keysPerRow - 1;
    return records
      .filter(({ first, last }) => first <= end && last >= start)
      .map((record) => ({
        ...record,
        first: Math.max(record.first, start),
        last: Math.min(record.last, end),
      }));
  });
}

/** Encodes the ranges of one row, which is written in an era of the store. */
export function encodeRanges(
  records: readonly RangeRecord[],
  era = 0,
): Uint8Array {
  const indexByIncarnation = new Map<string, number>();
  const servers: [string, number, string][] = [];
  function indexOf(server: ServerRef): number {
    const incarnation = `${server.id}@${server.bornAtMs}`;
    let index = indexByIncarnation.get(incarnation);
    if (index === undefined) {
      index = servers.length;
      indexByIncarnation.set(incarnation, index);
      servers.push([server.id, server.bornAtMs, server.address]);
    }
    return index;
  }
  const ranges = records.map((record) =>
    [
      record.first,
      record.target === undefined ? -1 : indexOf(record.target),
      record.isServing ? 1 : 0,
      record.former.map(({ server, endsAtStoreMs }) =>
        [indexOf(server), endsAtStoreMs] as [number, number]
      ),
    ] as const
  );
  return encodeJson({ era, servers, ranges } as WireRanges);
}

/** The content of a row that holds owners. */
export interface KeysRow {
  /** When the row was written; orders the rows of several eras, also those that an older copy of the store has brought back. */
  readonly writtenAt: StoreVersion;
  readonly ranges: readonly RangeRecord[];
}

/** Decodes a row that holds owners; throws when it is malformed. */
export function decodeKeysRow(row: StoredRow): KeysRow {
  const end = (parseKeysRowKey(row.key).index + 1) * keysPerRow;
  const wire = decodeJson(row) as WireRanges;
  const servers = wire.servers.map(([id, bornAtMs, address]) => ({
    id,
    bornAtMs,
    address,
  }));
  const ranges = wire.ranges.map(([first, target, isServing, former], i) => ({
    first,
    last: (wire.ranges[i + 1]?.[0] ?? end) - 1,
    target: servers[target],
    isServing: isServing === 1,
    former: former.map(([index, endsAtStoreMs]) => ({
      server: servers[index]!,
      endsAtStoreMs,
    })),
  }));
  return { writtenAt: { era: wire.era ?? 0, number: row.version }, ranges };
}

/** Encodes a value as JSON bytes. */
export function encodeJson(value: object): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}

/** Decodes the value of a row from JSON bytes. */
export function decodeJson(row: Pick<StoredRow, "value">): unknown {
  return JSON.parse(Buffer.from(row.value).toString("utf8"));
}
