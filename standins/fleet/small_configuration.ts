/**
 * Encodes the rows that the operator and the backend servers write to the row
 * store, for a small deployment.
 */
import type { ServerEntry } from "../../src/types/routing.ts";

/** The services of the small deployment. */
export enum SmallService {
  /** A sharded service: each key has an owner. */
  Roster = "roster",
  /** A service without owners of keys: any server may execute a request. */
  Pay = "pay",
}

/** Timeout of the requests of every route. */
export const routeTimeoutMs = 1_500;

/** Names of the columns of a route in the configuration row. */
export const routeColumns = [
  "name",
  "host",
  "prefix",
  "kind",
  "timeout_ms",
  "slo_ms",
  "priority",
  "split",
  "attempts",
  "service",
];

/** Names of the columns of a service in the configuration row. */
export const serviceColumns = [
  "name",
  "health_path",
  "max_conns",
  "sharded",
  "cold_per_s",
];

/** Encodes the configuration row; each extra prefix adds a route. */
export function encodeConfiguration(
  version: number,
  extraPrefixes: readonly string[] = [],
  coldRequestsPerSecond: number | null = null,
): Uint8Array {
  const routes = [
    ["reads", "/roster/", "safe", SmallService.Roster],
    ["confirms", "/pay/", "unsafe", SmallService.Pay],
    ["uploads", "/artwork/", "upload", SmallService.Pay],
    ["downloads", "/packs/", "download", SmallService.Pay],
    ...extraPrefixes.map((prefix) =>
      [prefix, prefix, "safe", SmallService.Pay] as const
    ),
  ];
  return encodeJson({
    version: `r${version}`,
    routes: {
      columns: routeColumns,
      rows: routes.map(([name, prefix, kind, service]) => [
        name,
        "app.example",
        prefix,
        kind,
        routeTimeoutMs,
        500,
        1,
        null,
        2,
        service,
      ]),
    },
    services: {
      columns: serviceColumns,
      rows: [
        [SmallService.Roster, "/healthz", 100, true, coldRequestsPerSecond],
        [SmallService.Pay, "/healthz", 100, null, coldRequestsPerSecond],
      ],
    },
    limits: {
      header_bytes: 16_384,
      body_bytes: 1_000_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  });
}

/** Encodes the row of a backend server. */
export function encodeServerEntry(entry: ServerEntry): Uint8Array {
  const { address, bornAtMs, service, zone, slotCount, isDraining } = entry;
  const { coldLeftMs = 0 } = entry;
  return encodeJson({
    addr: address,
    born: bornAtMs,
    info: { service, version: "v1", zone, slots: slotCount },
    status: {
      state: isDraining ? "draining" : "ready",
      seq: 1,
      cold_left_ms: coldLeftMs,
    },
  });
}

function encodeJson(value: object): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}
