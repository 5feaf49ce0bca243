/**
 * Encodes sync requests and their answers as JSON. Answers are compressed,
 * since the granter sends each change to every daemon and may have little
 * bandwidth.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type {
  CapacityReport,
  CapacityUpdate,
  PooledCapacities,
} from "../capacity/capacities.ts";
import type { LoadReport } from "../keyspace/load_reports.ts";
import type { StoreVersion } from "../../types/store_version.ts";
import type { TableUpdate } from "../feeds/table_copy.ts";
import type { TableUpdates } from "../feeds/table_feed.ts";

/** The fastest level; higher levels save little on rows that consist mostly of ids. */
const compressionLevel = 1;
/** Maximum size of a decompressed answer: several times the size of the largest tables. */
const maxAnswerBytes = 64 * 1_048_576;

/** A daemon's request to the key granter. */
export interface SyncRequest {
  /** The version of each of the sender's copies. */
  readonly versions: ReadonlyMap<string, StoreVersion | undefined>;
  readonly load: LoadReport;
  /** What the sender has measured of the servers since its last request. */
  readonly capacityReport: CapacityReport;
  /** The version of the sender's estimates of capacities; undefined if it takes none. */
  readonly capacityVersion: number | undefined;
  /** The incarnations of servers that announced that they are about to stop. */
  readonly leavingIncarnations: readonly string[];
  /** Longest time for which the granter waits for changes before it answers. */
  readonly waitMs: number;
}

/** A daemon's request for the tables that another daemon knows. */
export type CopiesRequest = Pick<
  SyncRequest,
  "versions" | "leavingIncarnations" | "waitMs"
>;

interface WireCopiesRequest {
  /** Table, version and era. Releases before eras leave the era out. */
  readonly versions: readonly (readonly [string, number | null, number?])[];
  readonly leaving?: readonly string[];
  readonly waitMs: number;
}

interface WireRequest extends WireCopiesRequest {
  /** Releases before learned capacities need `work`. */
  readonly load: LoadReport & {
    readonly work?: Readonly<Record<string, never>>;
  };
  readonly measured?: CapacityReport;
  readonly capacityVersion?: number;
}

/** The key granter's answer to a sync request. */
export interface SyncAnswer {
  readonly updates: TableUpdates;
  /** Whether the granter has reached the store for so long that every running server is registered. */
  readonly isDirectoryComplete: boolean;
  /** The incarnations of servers that announced that they are about to stop. */
  readonly leavingIncarnations: readonly string[];
  /** Estimates that the daemon lacks; undefined from or for a daemon that knows none. */
  readonly capacityUpdate: CapacityUpdate | undefined;
}

interface WireAnswer {
  readonly isDirectoryComplete: boolean;
  readonly capacityVersion?: number;
  readonly capacities?: PooledCapacities;
  readonly leaving?: readonly string[];
  readonly updates: readonly WireUpdate[];
}

interface WireUpdate {
  readonly table: string;
  readonly version: number;
  /** Missing from releases before eras. */
  readonly era?: number;
  readonly isWhole: boolean;
  /** Key, version, and the value's bytes as Latin-1; null for a removed row. */
  readonly rows: readonly (readonly [string, number, string | null])[];
}

export function encodeSyncRequest(request: SyncRequest): string {
  const wire: WireRequest = {
    ...toWireCopiesRequest(request),
    load: { ...request.load, work: {} },
    measured: request.capacityReport,
    ...(request.capacityVersion !== undefined &&
      { capacityVersion: request.capacityVersion }),
  };
  return JSON.stringify(wire);
}

export function encodeCopiesRequest(request: CopiesRequest): string {
  return JSON.stringify(toWireCopiesRequest(request));
}

/** Decodes a request for copies; throws when it is malformed. Versions without an era are of `ownEra`. */
export function decodeCopiesRequest(
  text: string,
  ownEra: number,
): CopiesRequest {
  return fromWireCopiesRequest(JSON.parse(text) as WireCopiesRequest, ownEra);
}

function toWireCopiesRequest(request: CopiesRequest): WireCopiesRequest {
  return {
    versions: [...request.versions]
      .map(([table, version]) =>
        version === undefined
          ? [table, null]
          : [table, version.number, version.era]
      ),
    ...encodeLeaving(request.leavingIncarnations),
    waitMs: request.waitMs,
  };
}

function fromWireCopiesRequest(
  wire: WireCopiesRequest,
  ownEra: number,
): CopiesRequest {
  return {
    versions: new Map(
      wire.versions.map(([table, number, era = ownEra]) => [
        table,
        number === null ? undefined : { era, number },
      ]),
    ),
    leavingIncarnations: wire.leaving ?? [],
    waitMs: wire.waitMs,
  };
}

/** Decodes a request; throws when it is malformed. Versions without an era are of `ownEra`. */
export function decodeSyncRequest(text: string, ownEra: number): SyncRequest {
  const wire = JSON.parse(text) as WireRequest;
  return {
    ...fromWireCopiesRequest(wire, ownEra),
    load: wire.load,
    capacityReport: wire.measured ?? {},
    capacityVersion: wire.capacityVersion,
  };
}

export function encodeSyncAnswer(answer: SyncAnswer): Uint8Array {
  const updates: WireUpdate[] = [...answer.updates].map(([table, update]) => ({
    table,
    version: update.version.number,
    era: update.version.era,
    isWhole: update.isSnapshot,
    rows: update.changes.map(({ key, version, value, isRemoved }) => [
      key,
      version,
      isRemoved ? null : Buffer.from(value).toString("latin1"),
    ]),
  }));
  const { isDirectoryComplete, leavingIncarnations, capacityUpdate } = answer;
  const wire: WireAnswer = {
    isDirectoryComplete,
    ...encodeCapacities(capacityUpdate),
    ...encodeLeaving(leavingIncarnations),
    updates,
  };
  return deflateRawSync(JSON.stringify(wire), { level: compressionLevel });
}

/** Decodes the answer to a request; throws when it is malformed. Versions without an era are of `ownEra`. */
export function decodeSyncAnswer(
  bytes: Uint8Array,
  ownEra: number,
): SyncAnswer {
  const text = inflateRawSync(bytes, { maxOutputLength: maxAnswerBytes })
    .toString("utf8");
  const wire = JSON.parse(text) as WireAnswer;
  const updates = new Map(
    wire.updates.map(({ table, version, era = ownEra, isWhole, rows }) => [
      table,
      {
        version: { era, number: version },
        isSnapshot: isWhole,
        changes: rows.map(([key, rowVersion, value]) => ({
          table,
          key,
          version: rowVersion,
          value: Buffer.from(value ?? "", "latin1"),
          isRemoved: value === null,
        })),
      } satisfies TableUpdate,
    ]),
  );
  return {
    updates,
    isDirectoryComplete: wire.isDirectoryComplete,
    leavingIncarnations: wire.leaving ?? [],
    capacityUpdate: wire.capacityVersion === undefined ? undefined : {
      version: wire.capacityVersion,
      capacities: wire.capacities ?? {},
    },
  };
}

/** Whether what an answer says of the servers is of the given era of the store. */
export function isOfEra({ updates }: SyncAnswer, era: number): boolean {
  return [...updates.values()].every(({ version }) => version.era === era);
}

/** Leaves the usual empty table of estimates out. */
function encodeCapacities(
  update: CapacityUpdate | undefined,
): Pick<WireAnswer, "capacityVersion" | "capacities"> {
  if (update === undefined) return {};
  const { version, capacities } = update;
  return Object.keys(capacities).length === 0
    ? { capacityVersion: version }
    : { capacityVersion: version, capacities };
}

/** Leaves the usual empty list out. */
function encodeLeaving(
  incarnations: readonly string[],
): { readonly leaving?: readonly string[] } {
  return incarnations.length === 0 ? {} : { leaving: incarnations };
}
