/**
 * Checks the preconditions of sending a request: its deadline, the ownership of
 * its key, the home's permit, the server's grant and the intent recorded at the
 * standby.
 */
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { AbortCause, DeadlineSignal } from "../../host/deadline_signal.ts";
import { AttemptOutcome, FencingMode } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type { KeyLocation } from "../../types/types.ts";
import { CounterName } from "../metrics/metrics.ts";
import { createAbortError } from "./abort_error.ts";
import { createServerClosedError } from "./close_server.ts";
import type { QueuedRequest } from "./queued_request.ts";
import type { ServerTaskScope } from "./server_task_scope.ts";

/** A backend server must start a request within this time after the send. */
const startWindowMs = 1_000;
/**
 * Maximum time for which a request occupies its slot while it waits for a
 * grant.
 */
const grantWaitMs = 400;

/** The right to send one request now. */
export interface SendRight {
  readonly location: KeyLocation;
  /** Local instant after which the request must not start. */
  readonly expiresAtMs: number;
}

/**
 * Waits for the grant and records the intent, then checks every right again.
 * The caller must send the request without awaiting anything after the last
 * check, since a right may expire meanwhile.
 */
export async function acquireSendRight(
  scope: ServerTaskScope,
  entry: QueuedRequest,
): Promise<Result<SendRight, RouterError>> {
  let isIntentRecorded = entry.attemptId === undefined;
  for (;;) {
    const right = checkRights(scope, entry);
    if (right.isErr()) return right;
    if (!isGranted(scope, { entry, right: right.value })) {
      const isGrantReceived = await waitForGrant(scope, entry);
      if (!isGrantReceived) return err(createGrantTimeoutError(scope));
      continue;
    }
    if (isIntentRecorded) return right;
    const recorded = await scope.context.standbys
      .recordIntent(entry, right.value.location.server.standbyDaemonId);
    if (recorded.isErr()) return err(recorded.error);
    isIntentRecorded = true;
  }
}

/** Checks the deadline, the ownership and the permit at this moment. */
function checkRights(
  { server, context }: ServerTaskScope,
  entry: QueuedRequest,
): Result<SendRight, RouterError> {
  const { request, abort } = entry;
  const nowMs = context.clock.nowMs();
  if (abort.cause !== undefined || nowMs >= request.deadlineAtMs) {
    return err(createAbortError(entry, AttemptOutcome.NotSent));
  }
  const { serverId } = server.server;
  const closedReason = server.tryGetClosedReason(nowMs);
  if (closedReason !== undefined) {
    return err(createServerClosedError(serverId, closedReason));
  }
  const located = context.ownership.locate(request.service, request.key);
  if (located.isErr()) return err(located.error);
  const location = located.value;
  const isOwner = location.server.serverId === serverId &&
    context.inFlight.isSendAllowed(location, request.key);
  if (!isOwner) return err(createSendError(MessageCode.KeyMoving, serverId));
  const permit = context.ownership.tryGetPermit(serverId);
  if (permit === undefined || permit.expiresAtMs <= nowMs) {
    context.metrics.count(CounterName.PermitsExpired);
    return err(createSendError(MessageCode.PermitExpired, serverId));
  }
  const expiresAtMs = Math.min(
    permit.expiresAtMs,
    request.deadlineAtMs,
    nowMs + startWindowMs,
  );
  return ok({ location, expiresAtMs });
}

function isGranted(
  { server }: ServerTaskScope,
  options: { readonly entry: QueuedRequest; readonly right: SendRight },
): boolean {
  if (server.definition.fencingMode === FencingMode.Unchecked) return true;
  const { entry, right } = options;
  return server.grants.isGranted(right.location, entry.request.key);
}

/** Waits for the server's next grant; false on timeout. */
async function waitForGrant(
  { server, context }: ServerTaskScope,
  entry: QueuedRequest,
): Promise<boolean> {
  const timeout = new DeadlineSignal(context.clock, {
    atMs: context.clock.nowMs() + grantWaitMs,
    parent: entry.abort.signal,
  });
  server.grantWakeup.notify();
  await server.grants.waitForChange(timeout.signal);
  timeout.dispose();
  return timeout.cause !== AbortCause.Deadline;
}

function createSendError(code: MessageCode, serverId: string): RouterError {
  return new RouterError(code, "check rights", { peer: serverId });
}

function createGrantTimeoutError({ server }: ServerTaskScope): RouterError {
  return new RouterError(MessageCode.KeyMoving, "await grant", {
    peer: server.server.serverId,
  });
}
