/**
 * Where the operators' configuration and the backend servers' entries stand
 * in the row store, and how their rows are read.
 */
import type { Result } from "neverthrow";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { RoutingTable, ServerEntry } from "../types/routing.ts";
import type { StoredRow } from "./row_store.ts";

/** Decodes the rows that others write. Errors say what is wrong with a row. */
export abstract class ControlTables extends Service {
  override readonly name = ServiceName.ControlTables;

  /** The table with the operators' configuration. */
  abstract readonly configurationTable: string;

  /** The table with one row for each backend server. */
  abstract readonly serverTable: string;

  /** Whether a row of the configuration table holds the routing table. */
  abstract isRoutingRow(row: StoredRow): boolean;

  /** Decodes the row that holds the routing table. */
  abstract decodeRoutingTable(row: StoredRow): Result<RoutingTable, string>;

  /** Decodes the entry of a backend server. */
  abstract decodeServer(row: StoredRow): Result<ServerEntry, string>;
}
