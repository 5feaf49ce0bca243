/**
 * Keeps the configuration current from the store's table feed. A version stays
 * in force until a higher one has been decoded, so a daemon never returns to an
 * older version.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { StoredRow } from "../../host/row_store.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import type { Route, RoutingTable } from "../../types/routing.ts";
import { followDependencies, FollowTask } from "../feeds/follow_task.ts";
import type { UpdateOrigin } from "../feeds/update_origin.ts";
import { RouteMatcher } from "./route_matcher.ts";
import { Routing } from "./routing.ts";

/** Number of malformed entries that the log line of a version describes. */
const maxLoggedDefects = 5;

/** Implements `Routing` from the rows of the configuration table. */
export class FollowedRouting extends Routing {
  override readonly changed = new ChangeSignal();
  readonly #following = new FollowTask();
  #services: ServiceLookup | undefined;
  #table: RoutingTable | undefined;
  #matcher: RouteMatcher | undefined;

  override get dependencies(): readonly ServiceName[] {
    return [...followDependencies, ServiceName.ControlTables];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    const { configurationTable } = services.get(ServiceName.ControlTables);
    this.#following.start(services, {
      table: configurationTable,
      reader: {
        keepsRow: (known, read) => this.#isNewerRow(known, read),
        onRows: (rows, origin) => this.#apply(rows, origin),
        onChanges: (changes, origin) =>
          this.#apply(changes.filter(({ isRemoved }) => !isRemoved), origin),
      },
    });
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return this.#following.stop();
  }

  override currentTable(): RoutingTable | undefined {
    return this.#table;
  }

  override tryMatch(host: string, path: string): Route | undefined {
    return this.#matcher?.tryMatch(host, path);
  }

  override chooseService(route: Route): string {
    return this.#matcher!.chooseService(route);
  }

  /** Whether a row has a newer configuration than the one that the store came back with. */
  #isNewerRow(known: StoredRow, read: StoredRow | undefined): boolean {
    const tables = this.#services!.get(ServiceName.ControlTables);
    if (!tables.isRoutingRow(known)) return false;
    const versionOf = (row: StoredRow | undefined) =>
      row === undefined ? -Infinity : tables.decodeRoutingTable(row)
        .map(({ table }) => table.version).unwrapOr(-Infinity);
    return versionOf(known) > versionOf(read);
  }

  #apply(rows: readonly StoredRow[], origin: UpdateOrigin): void {
    const tables = this.#services!.get(ServiceName.ControlTables);
    for (const row of rows) {
      if (tables.isRoutingRow(row)) this.#applyRow(row, origin);
    }
  }

  #applyRow(row: StoredRow, origin: UpdateOrigin): void {
    const services = this.#services!;
    const log = services.get(ServiceName.Log);
    const decoded = services.get(ServiceName.ControlTables)
      .decodeRoutingTable(row);
    if (decoded.isErr()) {
      log.write(LogEvent.ConfigurationRefused, {
        reason: decoded.error,
        rowVersion: row.version,
        versionInForce: this.#table?.version,
      });
      return;
    }
    const { table, defects } = decoded.value;
    const versionBefore = this.#table?.version;
    if (versionBefore !== undefined && table.version <= versionBefore) return;
    this.#table = table;
    this.#matcher = new RouteMatcher(
      table.routes,
      services.get(ServiceName.Random),
    );
    log.write(LogEvent.ConfigurationInForce, {
      version: table.version,
      versionBefore,
      routeCount: table.routes.length,
      rowVersion: row.version,
      ...origin,
    });
    if (defects.length > 0) {
      log.write(LogEvent.ConfigurationEntriesUnusable, {
        version: table.version,
        defectCount: defects.length,
        reason: defects.slice(0, maxLoggedDefects).join("; "),
      });
    }
    this.changed.notify();
  }
}
