/** Lets other daemons take over the servers of a home that drains. */
import { ServiceName } from "../../kernel/service_name.ts";
import type { RunningHome } from "./running_home.ts";

/** How long a draining daemon waits for others to take its servers over. */
const handOverTimeoutMs = 3_000;
/** How long it then still answers requests for idempotency records. */
const recordFetchGraceMs = 500;
const checkIntervalMs = 20;

/**
 * Waits until no server is homed here, or until nobody can take them over.
 * Stays for a while after that to hand out idempotency records.
 */
export async function handOverServers(
  { clock, services }: RunningHome,
  getServerCount: () => number,
): Promise<void> {
  const membership = services.get(ServiceName.Membership);
  membership.beginDraining();
  const startedAtMs = clock.nowMs();
  while (clock.nowMs() - startedAtMs < handOverTimeoutMs) {
    const isEveryDaemonDraining = membership.daemons().every((daemon) =>
      daemon.isDraining
    );
    if (getServerCount() === 0 || isEveryDaemonDraining) break;
    await clock.sleep(checkIntervalMs);
  }
  if (clock.nowMs() > startedAtMs) await clock.sleep(recordFetchGraceMs);
}
