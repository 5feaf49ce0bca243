/**
 * The contract for reading the control tables of the row store: the operators'
 * configuration and evacuations, and the entries of the backend servers.
 */
import type { Result } from "neverthrow";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { RoutingTable, ServerEntry } from "../types/routing.ts";
import type { StoredRow } from "./row_store.ts";

/** A routing table, and what in its row could not be used. */
export interface DecodedRoutingTable {
  readonly table: RoutingTable;
  /** One description for each malformed or unknown entry. */
  readonly defects: readonly string[];
}

/**
 * Decodes rows that operators and backend servers write. The error of a
 * decoding states what is wrong with the row.
 */
export abstract class ControlTables extends Service {
  override readonly name = ServiceName.ControlTables;

  /** Name of the table with the operators' configuration and evacuations. */
  abstract readonly configurationTable: string;

  /** Name of the table with one row for each backend server. */
  abstract readonly serverTable: string;

  /** Whether a row of the configuration table holds the routing table. */
  abstract isRoutingRow(row: StoredRow): boolean;

  /** Fails only when nothing in the row can be used. */
  abstract decodeRoutingTable(
    row: StoredRow,
  ): Result<DecodedRoutingTable, string>;

  /**
   * The data centre that a row of the configuration table evacuates by its
   * existence, whatever its value; undefined for the key of any other row.
   */
  abstract tryGetEvacuatedZone(key: string): string | undefined;

  abstract decodeServer(row: StoredRow): Result<ServerEntry, string>;
}
