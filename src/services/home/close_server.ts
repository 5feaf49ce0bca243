/** Stops new work for a server that is lost or has drained long enough. */
import { err } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { BackendServerState } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type { ServerTaskScope } from "./slot_scope.ts";

/** Returns what is queued as not sent and gives up what a loss made vain. */
export function closeServer(
  { server, context }: ServerTaskScope,
  reason: string,
): void {
  for (const entry of server.removeQueued(() => true)) {
    entry.settle(err(createServerClosedError(server.server.serverId, reason)));
  }
  if (server.health.state === BackendServerState.Lost) {
    context.inFlight.abortIdempotentAttempts(server.server.serverId);
  }
}

/** The refusal of a server that takes no new work. */
export function createServerClosedError(
  serverId: string,
  reason: string,
): RouterError {
  return new RouterError(MessageCode.KeyInMotion, "queue", {
    peer: serverId,
    detail: `${serverId} is ${reason}`,
  });
}
