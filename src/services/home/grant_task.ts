/** One task for each homed backend server that checks fences: its grants. */
import { FencingMode } from "../../types/enums.ts";
import { tryFindServer } from "./assignment_rules.ts";
import type { ServerTaskScope } from "./slot_scope.ts";

const grantCheckIntervalMs = 200;

/** Keeps the server's grants in line with the assignment until it retires. */
export async function runGrantTask(
  { server, context }: ServerTaskScope,
  signal: AbortSignal,
): Promise<void> {
  if (server.definition.fencingMode === FencingMode.Unchecked) return;
  const { clock, ownership } = context;
  const service = server.definition.name;
  const { serverId } = server.server;
  while (!signal.aborted) {
    const seenCount = server.grantWakeup.count;
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
