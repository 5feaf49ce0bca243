/**
 * The task of one slot of a backend server. Takes the next request, checks
 * every precondition of sending it, sends it, and occupies the slot until the
 * answer has been read or aborted.
 */
import { err, ok } from "neverthrow";
import { AttemptOutcome } from "../../types/enums.ts";
import { CounterName, TimingName } from "../metrics/metrics.ts";
import { createAbortError } from "./abort_error.ts";
import { TrackedAnswer } from "./tracked_answer.ts";
import { checkRequestId } from "./check_request_id.ts";
import type { InFlightAttempt } from "./in_flight.ts";
import { noteAttemptError } from "./note_attempt_error.ts";
import type { DispatchResult, QueuedRequest } from "./queued_request.ts";
import { acquireSendRight } from "./send_rights.ts";
import type { ServerTaskScope } from "./server_task_scope.ts";

/** Serves requests until `signal` aborts and the last request is finished. */
export async function runSlotTask(
  scope: ServerTaskScope,
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
  scope: ServerTaskScope,
  entry: QueuedRequest,
): Promise<void> {
  const right = await acquireSendRight(scope, entry);
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
    isOutcomeKnown: false,
  };
  inFlight.add(attempt);
  try {
    await runAttempt(scope, { entry, attempt });
  } finally {
    inFlight.remove(attempt);
  }
}

async function runAttempt(
  scope: ServerTaskScope,
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
    attempt.isOutcomeKnown = result.error.outcome !== AttemptOutcome.Unknown;
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
  if (server.limit.isAtMaximum) server.health.noteWarm();
  server.noteCompleted();
  metrics.record(TimingName.Service, nowMs - sentAtMs, entry.request);
  const trackedAnswer = new TrackedAnswer(result.value, {
    request: entry.request,
    peer: server.server.serverId,
    abort: entry.abort,
  });
  entry.settle(ok(trackedAnswer.response));
  await trackedAnswer.slotReleased;
}

/** Sends the request; discards an answer that arrives after the abort. */
async function send(
  { context }: ServerTaskScope,
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

/**
 * The result of an aborted attempt: an error that shows that the request did
 * not run is kept; any other result becomes an unknown outcome.
 */
function resolveAborted(
  entry: QueuedRequest,
  result: DispatchResult | void,
): DispatchResult {
  const isKnownNotRun = result !== undefined && result.isErr() &&
    result.error.outcome !== AttemptOutcome.Unknown;
  if (isKnownNotRun) return result;
  return err(createAbortError(entry, AttemptOutcome.Unknown));
}
