/** Runs the tasks of one homed backend server until it retires. */
import { runGrants } from "./grant_task.ts";
import { runHealth } from "./health_task.ts";
import { runSlot, type SlotScope } from "./slot_task.ts";

/** Resolves when the last request is finished and the connections closed. */
export async function runHomedServer(scope: SlotScope): Promise<void> {
  const { server, context } = scope;
  const { signal } = server.retired;
  const slots = Array.from(
    { length: server.definition.slotsPerServer },
    () => runSlot(scope, signal),
  );
  await Promise.all([
    runGrants(scope, signal),
    runHealth(scope, signal),
    ...slots,
  ]);
  await context.transport.forget(server.server);
}
