/**
 * The contract of the fleet link: what daemons tell each other. The key granter
 * reads the store for the fleet; the others send it their load and receive
 * what has changed in the store.
 */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** Connects a daemon with the key granter. */
export abstract class FleetLink extends Service {
  override readonly name = ServiceName.FleetLink;
}
