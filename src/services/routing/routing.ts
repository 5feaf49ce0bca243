/** The contract of the routing service: which configuration is in force. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ChangeSignal } from "../../streams/change_signal.ts";
import type { Route, RoutingTable } from "../../types/routing.ts";

/** Knows the newest configuration. */
export abstract class Routing extends Service {
  override readonly name = ServiceName.Routing;

  /** Notified after each new version. */
  abstract readonly changed: ChangeSignal;

  /** The table in force; undefined until one was read. */
  abstract current(): RoutingTable | undefined;

  /** The route with the longest prefix of the path among those of the host. */
  abstract tryMatch(host: string, path: string): Route | undefined;

  /** Chooses the service for a request of a route, by the targets' weights. */
  abstract chooseService(route: Route): string;
}
