/**
 * Fails the queued requests of a backend server that is lost or whose drain
 * period is over.
 */
import { err } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { BackendServerState } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type { ServerTaskScope } from "./server_task_scope.ts";

/**
 * Fails the queued requests as not sent. When the server is lost, also aborts
 * its in-flight idempotent requests, so that they can run on another server.
 */
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

/** Creates the error for a request to a server that accepts no new requests. */
export function createServerClosedError(
  serverId: string,
  reason: string,
): RouterError {
  return new RouterError(MessageCode.KeyMoving, "queue", {
    peer: serverId,
    detail: `${serverId} is ${reason}`,
  });
}
