/**
 * Collects the input of the load balancing for a request from the
 * configuration and the fleet, apart from the servers.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RoutingTable } from "../../types/routing.ts";
import type { ChoiceContext } from "./choose_server.ts";
import type { RoutedCall } from "./dispatch.ts";
import type { ServiceLevels } from "./service_levels.ts";

/**
 * Fraction of a server's connections that requests of the fleet use. The rest
 * is for grants, releases and daemons that join.
 */
const connectionFraction = 0.8;
const minConnections = 2;

/** Creates the contexts of one daemon's choices. */
export class ChoiceContexts {
  readonly #services: ServiceLookup;
  readonly #zone: string;
  readonly #levels: ServiceLevels;
  /** The most urgent priority among the routes of each service, in `#prioritiesTable`. */
  readonly #priorities = new Map<string, number>();
  #prioritiesTable: RoutingTable | undefined;

  constructor(
    services: ServiceLookup,
    { zone, levels }: {
      readonly zone: string;
      readonly levels: ServiceLevels;
    },
  ) {
    this.#services = services;
    this.#zone = zone;
    this.#levels = levels;
  }

  create(call: RoutedCall): ChoiceContext {
    const services = this.#services;
    const table = services.get(ServiceName.Routing).currentTable();
    const daemonCount = services.get(ServiceName.KeySpace).daemonCount();
    const nowMs = services.get(ServiceName.Clock).nowMs();
    const use = { service: call.service, route: call.route.name };
    const maxConnections = table?.services.get(call.service)?.maxConnections ??
      minConnections;
    return {
      route: call.route,
      zone: this.#zone,
      nowMs,
      objectiveLeftMs: Math.max(
        0,
        call.route.objectiveMs - (nowMs - call.arrivedAtMs),
      ),
      capacities: services.get(ServiceName.Capacities),
      maxInFlight: Math.max(
        minConnections,
        Math.floor(maxConnections * connectionFraction / daemonCount),
      ),
      daemonCount,
      hasMoreUrgentRoute:
        this.#getHighestPriority(call.service) < call.route.priority &&
        !this.#levels.isStarved(use, nowMs),
    };
  }

  /** Returns the most urgent priority, the lowest number, among the routes of a service. */
  #getHighestPriority(service: string): number {
    const table = this.#services.get(ServiceName.Routing).currentTable();
    if (table !== this.#prioritiesTable) {
      this.#prioritiesTable = table;
      this.#priorities.clear();
      for (const { targets, priority } of table?.routes ?? []) {
        for (const target of targets) {
          const known = this.#priorities.get(target.service) ?? Infinity;
          this.#priorities.set(target.service, Math.min(known, priority));
        }
      }
    }
    return this.#priorities.get(service) ?? Infinity;
  }
}
