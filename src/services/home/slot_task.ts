/**
 * One task for each slot of a backend server: takes the next request, checks
 * every right to send it, sends it, and holds the slot until the answer has
 * been read or given up.
 */
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { AbortCause, DeadlineSignal } from "../../host/deadline_signal.ts";
import { AttemptOutcome, FencingMode } from "../../types/enums.ts";
import { assertNever, RouterError } from "../../types/errors.ts";
import type { KeyLocation } from "../../types/types.ts";
import { CounterName, TimingName } from "../metrics/metrics.ts";
import { AnswerLease } from "./answer_lease.ts";
import { checkRequestId } from "./check_request_id.ts";
import { createClosedError } from "./close_server.ts";
import type { HomeContext } from "./home_context.ts";
import type { HomedServer } from "./homed_server.ts";
import type { InFlightAttempt } from "./in_flight.ts";
import { noteAttemptError } from "./note_attempt_error.ts";
import type { DispatchResult, QueuedRequest } from "./queued_request.ts";

/** Time within which a backend server must start a request sent to it. */
const startWindowMs = 1_000;
/** How long a request waits in its slot for the server to accept a grant. */
const grantWaitMs = 400;

/** The right to send one request now. */
interface SendRight {
  readonly location: KeyLocation;
  /** Local instant at which the right lapses. */
  readonly expiresAtMs: number;
}

/** What one slot works with. */
export interface SlotScope {
  readonly server: HomedServer;
  readonly context: HomeContext;
}

/** Serves requests until `signal` aborts and the last one is finished. */
export async function runSlot(
  scope: SlotScope,
  signal: AbortSignal,
): Promise<void> {
  for (;;) {
    const entry = await scope.server.takeNext(signal);
    if (entry === undefined) return;
    try {
      await runRequest(scope, entry);
    } finally {
      entry.abort.dispose();
      scope.server.finish(entry);
    }
  }
}

async function runRequest(
  scope: SlotScope,
  entry: QueuedRequest,
): Promise<void> {
  const right = await prepare(scope, entry);
  if (right.isErr()) {
    entry.settle(err(right.error));
    return;
  }
  const { inFlight } = scope.context;
  const attempt: InFlightAttempt = {
    location: right.value.location,
    key: entry.request.key,
    startBeforeAtMs: right.value.expiresAtMs,
    isIdempotent: entry.request.isIdempotent,
    abort: entry.abort,
    hasAnswer: false,
    isSettled: false,
  };
  inFlight.add(attempt);
  try {
    await runAttempt(scope, { entry, attempt });
  } finally {
    inFlight.remove(attempt);
  }
}

/**
 * Obtains the grant and records the intent, then checks every right again:
 * nothing is awaited between the last check and the send.
 */
async function prepare(
  scope: SlotScope,
  entry: QueuedRequest,
): Promise<Result<SendRight, RouterError>> {
  let isIntentRecorded = entry.attemptId === undefined;
  for (;;) {
    const right = checkRights(scope, entry);
    if (right.isErr()) return right;
    if (!isGranted(scope, { entry, right: right.value })) {
      const isChanged = await waitForGrant(scope, entry);
      if (!isChanged) return err(createUngranted(scope));
      continue;
    }
    if (isIntentRecorded) return right;
    const recorded = await scope.context.standbys
      .recordIntent(entry, right.value.location.server.standbyDaemonId);
    if (recorded.isErr()) return err(recorded.error);
    isIntentRecorded = true;
  }
}

/** Checks deadline, ownership and permit as they stand now. */
function checkRights(
  { server, context }: SlotScope,
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
    return err(createClosedError(serverId, closedReason));
  }
  const located = context.ownership.locate(request.service, request.key);
  if (located.isErr()) return err(located.error);
  const location = located.value;
  const isOwner = location.server.serverId === serverId &&
    context.inFlight.isAllowed(location, request.key);
  if (!isOwner) return err(createNotSent(MessageCode.KeyInMotion, serverId));
  const permit = context.ownership.tryGetPermit(serverId);
  if (permit === undefined || permit.expiresAtMs <= nowMs) {
    context.metrics.count(CounterName.PermitsLapsed);
    return err(createNotSent(MessageCode.PermitLapsed, serverId));
  }
  const expiresAtMs = Math.min(
    permit.expiresAtMs,
    request.deadlineAtMs,
    nowMs + startWindowMs,
  );
  return ok({ location, expiresAtMs });
}

function isGranted(
  { server }: SlotScope,
  options: { readonly entry: QueuedRequest; readonly right: SendRight },
): boolean {
  if (server.definition.fencingMode === FencingMode.Unchecked) return true;
  const { entry, right } = options;
  return server.grants.isGranted(right.location, entry.request.key);
}

/** Waits for the server's next grant; false when it takes too long. */
async function waitForGrant(
  { server, context }: SlotScope,
  entry: QueuedRequest,
): Promise<boolean> {
  const limit = new DeadlineSignal(context.clock, {
    atMs: context.clock.nowMs() + grantWaitMs,
    parent: entry.abort.signal,
  });
  server.grantWakeup.notify();
  await server.grants.waitForChange(limit.signal);
  limit.dispose();
  return limit.cause !== AbortCause.Deadline;
}

async function runAttempt(
  scope: SlotScope,
  { entry, attempt }: {
    readonly entry: QueuedRequest;
    readonly attempt: InFlightAttempt;
  },
): Promise<void> {
  const { server, context } = scope;
  const { clock, metrics } = context;
  const sentAtMs = clock.nowMs();
  metrics.count(CounterName.AttemptsSent);
  metrics.record(
    TimingName.Wait,
    sentAtMs - entry.queuedAtMs,
    entry.request,
  );
  server.health.noteSent(sentAtMs);
  const result = await send(scope, { entry, attempt });
  if (result.isErr()) {
    attempt.isSettled = result.error.outcome !== AttemptOutcome.Unknown;
    noteAttemptError(scope, {
      error: result.error,
      abortCause: entry.abort.cause,
      sentAtMs,
      location: attempt.location,
      deadlineAtMs: entry.request.deadlineAtMs,
    });
    entry.settle(err(result.error));
    return;
  }
  attempt.hasAnswer = true;
  const nowMs = clock.nowMs();
  server.health.noteAnswer(nowMs, { isIdle: server.busyCount <= 1 });
  server.limit.noteAnswer(nowMs - sentAtMs);
  if (server.limit.isFull) server.health.noteWarm();
  server.noteCompleted();
  metrics.record(TimingName.Service, nowMs - sentAtMs, entry.request);
  const lease = new AnswerLease(result.value, {
    request: entry.request,
    peer: server.server.serverId,
    abort: entry.abort,
  });
  entry.settle(ok(lease.response));
  await lease.released;
}

/** Sends the request; drops an answer that comes after it was given up. */
async function send(
  { context }: SlotScope,
  { entry, attempt }: {
    readonly entry: QueuedRequest;
    readonly attempt: InFlightAttempt;
  },
): Promise<DispatchResult> {
  const { clock, transport } = context;
  const remainingMs = attempt.startBeforeAtMs - clock.nowMs();
  const sent = transport.send(entry.request, attempt.location, {
    signal: entry.abort.signal,
    startBeforeWallMs: Math.floor(clock.wallTimeMs() + remainingMs),
  });
  const result = await Promise.race([sent, entry.abort.aborted]);
  if (result === undefined || entry.abort.cause !== undefined) {
    return resolveAborted(entry, result);
  }
  if (result.isErr()) return result;
  return checkRequestId(result.value, {
    requestId: entry.request.requestId,
    peer: attempt.location.server.serverId,
    abort: entry.abort,
  });
}

/** The result of an attempt that was given up: certain refusals still count. */
function resolveAborted(
  entry: QueuedRequest,
  result: DispatchResult | void,
): DispatchResult {
  const isUnrun = result !== undefined && result.isErr() &&
    result.error.outcome !== AttemptOutcome.Unknown;
  if (isUnrun) return result;
  return err(createAbortError(entry, AttemptOutcome.Unknown));
}

/** The error of a request that was given up, by the cause. */
export function createAbortError(
  entry: Pick<QueuedRequest, "abort" | "location">,
  outcome: AttemptOutcome,
): RouterError {
  const peer = entry.location.server.serverId;
  const cause = entry.abort.cause ?? AbortCause.Deadline;
  switch (cause) {
    case AbortCause.Cancelled:
      return new RouterError(MessageCode.RequestCancelled, "send", {
        peer,
        outcome,
      });
    case AbortCause.Deadline:
      return new RouterError(MessageCode.DeadlineExceeded, "send", {
        peer,
        detail: outcome === AttemptOutcome.NotSent ? "queued" : "sent",
        outcome,
      });
    case AbortCause.Moved:
    case AbortCause.Stopped:
      return new RouterError(MessageCode.OutcomeUnknown, "send", {
        peer,
        detail: cause,
        outcome,
      });
    default:
      return assertNever(cause);
  }
}

function createNotSent(code: MessageCode, serverId: string): RouterError {
  return new RouterError(code, "check rights", { peer: serverId });
}

function createUngranted({ server }: SlotScope): RouterError {
  return new RouterError(MessageCode.KeyInMotion, "await grant", {
    peer: server.server.serverId,
  });
}
