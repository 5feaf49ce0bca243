/** Control tables for tests, whose rows contain the internal types as JSON. */
import { err, ok, type Result } from "neverthrow";
import {
  ControlTables,
  type DecodedRoutingTable,
} from "../host/control_tables.ts";
import type { StoredRow } from "../host/row_store.ts";
import type {
  RoutedService,
  RoutingTable,
  ServerEntry,
} from "../types/routing.ts";

/** Decodes rows that contain the internal types as JSON. */
export class FakeControlTables extends ControlTables {
  override readonly configurationTable = "configuration";
  override readonly serverTable = "servers";

  override isRoutingRow(row: StoredRow): boolean {
    return row.key === "routing";
  }

  override decodeRoutingTable(
    row: StoredRow,
  ): Result<DecodedRoutingTable, string> {
    try {
      const { services, ...rest } = JSON.parse(
        Buffer.from(row.value).toString(),
      );
      const table = {
        ...rest,
        services: new Map(
          (services as RoutedService[]).map((s) => [s.name, s]),
        ),
      };
      return ok({ table, defects: [] });
    } catch (error) {
      return err(String(error));
    }
  }

  override tryGetEvacuatedZone(key: string): string | undefined {
    return /^evacuation\/(.+)$/.exec(key)?.[1];
  }

  override decodeServer(row: StoredRow): Result<ServerEntry, string> {
    try {
      return ok(JSON.parse(Buffer.from(row.value).toString()));
    } catch (error) {
      return err(String(error));
    }
  }
}

/** Encodes a routing table for `FakeControlTables`. */
export function encodeRoutingTable(table: RoutingTable): Uint8Array {
  return Buffer.from(
    JSON.stringify({ ...table, services: [...table.services.values()] }),
  );
}
