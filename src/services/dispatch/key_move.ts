/**
 * Decides whether requests for a key that changes its owner wait or are
 * refused. A hand-over between running servers ends when the former owner has
 * answered the requests that it runs. The key of a lost server moves only when
 * the server's hold has ended, which takes longer than callers should wait. The
 * keys of an evacuated data centre move soon after the evacuation begins, unless
 * the key granter cannot record the moves.
 */
import type { ServerRef } from "../keyspace/fleet_rows.ts";
import type { KeyOwnership } from "../keyspace/key_space.ts";

/** A former owner that runs answers a release within this time, or the release is repeated. */
const maxHandoverMs = 3_000;
/** A move from a server that is not registered may be finished this soon, if its hold has nearly ended. */
const maxMoveFromLostMs = 300;

/** The key granter learns of an evacuation and records the moves within this time, unless the store is down or the granter was lost. */
const maxEvacuationPlanMs = 3_000;

/** Whether a key whose owner's data centre is evacuated is expected to begin its move soon. */
export function isEvacuationMoveExpected(evacuatedMs: number): boolean {
  return evacuatedMs <= maxEvacuationPlanMs;
}

/** Whether the next owner of a moving key is expected soon. */
export function isMoveEndingSoon(
  { formerServers, movingMs }: KeyOwnership,
  isRegistered: (server: ServerRef) => boolean,
): boolean {
  const limitMs = formerServers.every(isRegistered)
    ? maxHandoverMs
    : maxMoveFromLostMs;
  return movingMs <= limitMs;
}
