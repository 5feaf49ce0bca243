/**
 * The contract of the fleet link, which connects daemons with the key granter.
 * The key granter reads the store for the fleet; the other daemons send it
 * their load reports and receive the changes of the store's tables.
 */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** Connects a daemon with the key granter. */
export abstract class FleetLink extends Service {
  override readonly name = ServiceName.FleetLink;
}
