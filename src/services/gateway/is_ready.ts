/** Checks whether the daemon can route every request that the configuration allows. */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** Whether the configuration, the servers and the owners of all sharded services are known. */
export function isReady(services: ServiceLookup): boolean {
  const table = services.get(ServiceName.Routing).currentTable();
  if (table === undefined) return false;
  if (!services.get(ServiceName.Directory).isLoaded()) return false;
  const keySpace = services.get(ServiceName.KeySpace);
  for (const { name, isSharded } of table.services.values()) {
    if (isSharded && !keySpace.isLoaded(name)) return false;
  }
  return true;
}
