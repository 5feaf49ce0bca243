/** Decides whether an evacuation leaves a service without servers. */
import type { Directory } from "../directory/directory.ts";

/** Whether the servers of a service that could accept requests are all in evacuated data centres. */
export function isServiceEvacuated(
  directory: Directory,
  service: string,
): boolean {
  return directory.usableServers(service).length === 0 &&
    directory.evacuatedServers(service).length > 0;
}
