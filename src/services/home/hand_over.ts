/** Waits for other daemons to take over the servers of a draining home. */
import { ServiceName } from "../../kernel/service_name.ts";
import type { RunningHome } from "./running_home.ts";

/** Limit for the takeover of all servers by other daemons. */
const handoverTimeoutMs = 3_000;
/**
 * Time after the takeover in which the new homes can still fetch idempotency
 * records.
 */
const recordFetchGraceMs = 500;
const checkIntervalMs = 20;

/**
 * Waits until no server is homed here, every daemon is draining so that none
 * can take over, or the timeout is reached. Then keeps serving idempotency
 * records for a short time.
 */
export async function handOverServers(
  { clock, services }: RunningHome,
  getServerCount: () => number,
): Promise<void> {
  const membership = services.get(ServiceName.Membership);
  membership.beginDraining();
  const startedAtMs = clock.nowMs();
  while (clock.nowMs() - startedAtMs < handoverTimeoutMs) {
    const isEveryDaemonDraining = membership.daemons().every((daemon) =>
      daemon.isDraining
    );
    if (getServerCount() === 0 || isEveryDaemonDraining) break;
    await clock.sleep(checkIntervalMs);
  }
  if (clock.nowMs() > startedAtMs) await clock.sleep(recordFetchGraceMs);
}
