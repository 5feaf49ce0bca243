/** Runs the tasks of one backend server until it is no longer homed here. */
import { runGrantTask } from "./grant_task.ts";
import { runHealthTask } from "./health_task.ts";
import type { ServerTaskScope } from "./server_task_scope.ts";
import { runSlotTask } from "./slot_task.ts";

/**
 * Resolves when the last request is finished and the connections are closed.
 */
export async function runHomedServer(scope: ServerTaskScope): Promise<void> {
  const { server, context } = scope;
  const { signal } = server.retired;
  const slots = Array.from(
    { length: server.definition.slotsPerServer },
    () => runSlotTask(scope, signal),
  );
  await Promise.all([
    runGrantTask(scope, signal),
    runHealthTask(scope, signal),
    ...slots,
  ]);
  await context.transport.closeConnections(server.server);
}
