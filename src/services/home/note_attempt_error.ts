/**
 * Updates the health, the limit and the grants of a backend server after a
 * failed attempt.
 */
import { AbortCause } from "../../host/deadline_signal.ts";
import { AttemptOutcome, RefusalReason } from "../../types/enums.ts";
import { assertNever, type RouterError } from "../../types/errors.ts";
import type { KeyLocation } from "../../types/types.ts";
import { CounterName } from "../metrics/metrics.ts";
import type { ServerTaskScope } from "./server_task_scope.ts";

/**
 * A request that times out sooner than this is no evidence against its server.
 */
const minSilenceMs = 250;
/**
 * The entry cancels a request at its deadline up to this long before the home's
 * deadline.
 */
const deadlineSlackMs = 50;

export interface AttemptFailure {
  readonly error: RouterError;
  /** Why the attempt was aborted; undefined when it failed without an abort. */
  readonly abortCause: AbortCause | undefined;
  readonly sentAtMs: number;
  readonly location: KeyLocation;
  readonly deadlineAtMs: number;
}

export function noteAttemptError(
  scope: ServerTaskScope,
  failure: AttemptFailure,
): void {
  const { server, context } = scope;
  const { outcome } = failure.error;
  switch (outcome) {
    case AttemptOutcome.NotSent:
      server.health.noteFailure(context.clock.nowMs());
      server.healthWakeup.notify();
      return;
    case AttemptOutcome.RefusedUnrun:
      context.metrics.count(CounterName.AttemptsRefusedUnrun);
      noteRefusal(scope, failure);
      return;
    case AttemptOutcome.Unknown:
      context.metrics.count(CounterName.AttemptsUnknown);
      noteUnknown(scope, failure);
      return;
    case AttemptOutcome.Answered:
      return;
    default:
      assertNever(outcome);
  }
}

function noteRefusal(
  { server, context }: ServerTaskScope,
  { error, location }: AttemptFailure,
): void {
  const nowMs = context.clock.nowMs();
  server.health.noteAnswer(nowMs, { isIdle: server.busyCount <= 1 });
  switch (error.detail) {
    case RefusalReason.Shedding:
      server.limit.noteOverload(nowMs);
      return;
    case RefusalReason.Draining:
      server.health.noteDraining(nowMs);
      server.healthWakeup.notify();
      return;
    case RefusalReason.Fence:
      server.grants.invalidate(location.fence);
      server.grantWakeup.notify();
      return;
    default:
      return;
  }
}

function noteUnknown(
  { server, context }: ServerTaskScope,
  { abortCause, sentAtMs, deadlineAtMs }: AttemptFailure,
): void {
  const nowMs = context.clock.nowMs();
  const isDeadlineReached = abortCause === AbortCause.Deadline ||
    (abortCause === AbortCause.Cancelled &&
      nowMs >= deadlineAtMs - deadlineSlackMs);
  const isServerSilent = isDeadlineReached && nowMs - sentAtMs >= minSilenceMs;
  if (abortCause !== undefined && !isServerSilent) return;
  server.health.noteFailure(nowMs);
  server.limit.noteOverload(nowMs);
  server.healthWakeup.notify();
}
