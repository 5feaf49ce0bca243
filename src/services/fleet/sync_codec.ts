/** Encoding of the messages between daemons, as JSON. */
import type { LoadReport } from "../keyspace/load_reports.ts";
import type { TableUpdate } from "../feeds/table_copy.ts";
import type { TableUpdates } from "../feeds/table_feed.ts";

/** What a daemon sends to the key granter. */
export interface SyncRequest {
  /** The version of each of the sender's copies. */
  readonly versions: ReadonlyMap<string, number | undefined>;
  readonly load: LoadReport;
  /** How long the sender waits for changes. */
  readonly waitMs: number;
}

interface WireRequest {
  readonly versions: readonly (readonly [string, number | null])[];
  readonly load: LoadReport;
  readonly waitMs: number;
}

interface WireUpdate {
  readonly table: string;
  readonly version: number;
  readonly isWhole: boolean;
  /** Key, version, and the value in base64; null for a removed row. */
  readonly rows: readonly (readonly [string, number, string | null])[];
}

/** Encodes a request. */
export function encodeSyncRequest(request: SyncRequest): string {
  const wire: WireRequest = {
    versions: [...request.versions]
      .map(([table, version]) => [table, version ?? null]),
    load: request.load,
    waitMs: request.waitMs,
  };
  return JSON.stringify(wire);
}

/** Decodes a request; throws when it is malformed. */
export function decodeSyncRequest(text: string): SyncRequest {
  const wire = JSON.parse(text) as WireRequest;
  return {
    versions: new Map(
      wire.versions.map(([table, version]) => [table, version ?? undefined]),
    ),
    load: wire.load,
    waitMs: wire.waitMs,
  };
}

/** Encodes the answer to a request. */
export function encodeTableUpdates(updates: TableUpdates): string {
  const wire: WireUpdate[] = [...updates].map(([table, update]) => ({
    table,
    version: update.version,
    isWhole: update.isWhole,
    rows: update.changes.map(({ key, version, value, isRemoved }) => [
      key,
      version,
      isRemoved ? null : Buffer.from(value).toString("base64"),
    ]),
  }));
  return JSON.stringify(wire);
}

/** Decodes the answer to a request; throws when it is malformed. */
export function decodeTableUpdates(text: string): TableUpdates {
  const wire = JSON.parse(text) as WireUpdate[];
  return new Map(
    wire.map(({ table, version, isWhole, rows }) => [
      table,
      {
        version,
        isWhole,
        changes: rows.map(([key, rowVersion, value]) => ({
          table,
          key,
          version: rowVersion,
          value: Buffer.from(value ?? "", "base64"),
          isRemoved: value === null,
        })),
      } satisfies TableUpdate,
    ]),
  );
}
