/** The contract of the routing service, which provides the configuration in force. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ChangeSignal } from "../../streams/change_signal.ts";
import type { Route, RoutingTable } from "../../types/routing.ts";

/** Provides the newest configuration and finds routes in it. */
export abstract class Routing extends Service {
  override readonly name = ServiceName.Routing;

  /** Notified after each new version. */
  abstract readonly changed: ChangeSignal;

  /** The configuration in force; undefined until one has been read. */
  abstract currentTable(): RoutingTable | undefined;

  /** The route of the host whose path prefix is the longest that matches. */
  abstract tryMatch(host: string, path: string): Route | undefined;

  /** Chooses the service for a request of a route, according to the targets' weights. */
  abstract chooseService(route: Route): string;
}
