/**
 * Compares the outcomes that callers received with the executions in the
 * backend servers' own logs.
 */
import { AttemptOutcome } from "../types/enums.ts";
import { assertNever } from "../types/errors.ts";
import type { FakeExecution } from "../testing/fake_backend.ts";
import type { CallerAttempt } from "./caller_load.ts";

/** The ways in which an outcome can contradict the executions. */
export enum OutcomeViolation {
  RefusedButRun = "refused as not run, but was run",
  AnsweredButNotRun = "answered, but was not run",
  WrongAnswer = "answered with another request's answer",
}

interface ExecutionIndex {
  readonly byRequestId: ReadonlyMap<string, FakeExecution>;
  readonly byIdempotencyKey: ReadonlyMap<string, FakeExecution>;
}

/** Returns one line for each violation; none if every outcome is consistent. */
export function findOutcomeViolations(
  attempts: readonly CallerAttempt[],
  executions: readonly FakeExecution[],
): string[] {
  const index = createExecutionIndex(executions);
  return attempts.flatMap((attempt) => {
    const violation = tryFindViolation(attempt, index);
    if (violation === undefined) return [];
    return [`${attempt.requestId} ${attempt.key}: ${violation}`];
  });
}

function createExecutionIndex(
  executions: readonly FakeExecution[],
): ExecutionIndex {
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
  index: ExecutionIndex,
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

/**
 * A request with the idempotency key of an earlier one may receive the answer
 * of the earlier execution.
 */
function tryFindAnswerViolation(
  attempt: CallerAttempt,
  index: ExecutionIndex,
): OutcomeViolation | undefined {
  const execution = index.byRequestId.get(attempt.requestId) ??
    index.byIdempotencyKey.get(attempt.idempotencyKey ?? "");
  if (execution === undefined) return OutcomeViolation.AnsweredButNotRun;
  const expected = `${execution.service}/${attempt.key}/${execution.requestId}`;
  return attempt.body === expected ? undefined : OutcomeViolation.WrongAnswer;
}
