/**
 * The task that issues, renews and revokes the grants of one backend server
 * that checks fences.
 */
import { FencingMode } from "../../types/enums.ts";
import { tryFindServer } from "./assignment_rules.ts";
import type { ServerTaskScope } from "./server_task_scope.ts";

const grantCheckIntervalMs = 200;

/**
 * Keeps the server's grants matched to the assignment until `signal` aborts,
 * then revokes them if the assignment no longer contains the server.
 */
export async function runGrantTask(
  { server, context }: ServerTaskScope,
  signal: AbortSignal,
): Promise<void> {
  if (server.definition.fencingMode === FencingMode.Unchecked) return;
  const { clock, ownership } = context;
  const service = server.definition.name;
  const { serverId } = server.server;
  while (!signal.aborted) {
    const seenCount = server.grantWakeup.notifyCount;
    const assignment = ownership.tryGetAssignment(service);
    const permit = ownership.tryGetPermit(serverId);
    if (assignment !== undefined && permit !== undefined) {
      await server.grants.maintain(assignment, permit.expiresAtMs);
    }
    await server.grantWakeup.waitAtMost(clock, {
      durationMs: grantCheckIntervalMs,
      seenCount,
      signal,
    });
  }
  const lastAssignment = ownership.tryGetAssignment(service);
  if (
    lastAssignment !== undefined &&
    tryFindServer(lastAssignment, serverId) === undefined
  ) {
    await server.grants.revokeAll();
  }
}
