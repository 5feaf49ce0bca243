/**
 * Compares what callers were told with what the backend servers' own logs
 * say was run. Returns one line for each violation; none when all holds.
 */
import { AttemptOutcome } from "../types/enums.ts";
import { assertNever } from "../types/errors.ts";
import type { FakeExecution } from "../testing/fake_backend.ts";
import type { CallerAttempt } from "./caller_load.ts";

/** The promises towards callers. */
export enum OutcomeViolation {
  RefusedButRun = "refused as not run, but was run",
  AnsweredButNotRun = "answered, but was not run",
  WrongAnswer = "answered with another request's answer",
}

interface RunIndex {
  readonly byRequestId: ReadonlyMap<string, FakeExecution>;
  readonly byIdempotencyKey: ReadonlyMap<string, FakeExecution>;
}

/** Lists every broken promise. */
export function findOutcomeViolations(
  attempts: readonly CallerAttempt[],
  executions: readonly FakeExecution[],
): string[] {
  const index = createRunIndex(executions);
  return attempts.flatMap((attempt) => {
    const violation = tryFindViolation(attempt, index);
    if (violation === undefined) return [];
    return [`${attempt.requestId} ${attempt.key}: ${violation}`];
  });
}

function createRunIndex(executions: readonly FakeExecution[]): RunIndex {
  const byRequestId = new Map<string, FakeExecution>();
  const byIdempotencyKey = new Map<string, FakeExecution>();
  for (const execution of executions) {
    byRequestId.set(execution.requestId, execution);
    if (execution.idempotencyKey === undefined) continue;
    byIdempotencyKey.set(execution.idempotencyKey, execution);
  }
  return { byRequestId, byIdempotencyKey };
}

function tryFindViolation(
  attempt: CallerAttempt,
  index: RunIndex,
): OutcomeViolation | undefined {
  switch (attempt.outcome) {
    case AttemptOutcome.NotSent:
    case AttemptOutcome.RefusedUnrun:
      return index.byRequestId.has(attempt.requestId)
        ? OutcomeViolation.RefusedButRun
        : undefined;
    case AttemptOutcome.Unknown:
      return undefined;
    case AttemptOutcome.Answered:
      return tryFindAnswerViolation(attempt, index);
    default:
      return assertNever(attempt.outcome);
  }
}

/** A repeat may receive the answer of the run it repeats. */
function tryFindAnswerViolation(
  attempt: CallerAttempt,
  index: RunIndex,
): OutcomeViolation | undefined {
  const run = index.byRequestId.get(attempt.requestId) ??
    index.byIdempotencyKey.get(attempt.idempotencyKey ?? "");
  if (run === undefined) return OutcomeViolation.AnsweredButNotRun;
  const expected = `${run.service}/${attempt.key}/${run.requestId}`;
  return attempt.body === expected ? undefined : OutcomeViolation.WrongAnswer;
}
