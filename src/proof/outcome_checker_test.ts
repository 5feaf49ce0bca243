import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import type { FakeExecution } from "../testing/fake_backend.ts";
import { AttemptOutcome } from "../types/enums.ts";
import type { CallerAttempt } from "./caller_load.ts";
import { findOutcomeViolations, OutcomeViolation } from "./outcome_checker.ts";

const execution: FakeExecution = {
  serverId: "server-0",
  service: "roster",
  key: "key",
  requestId: "request-0",
  idempotencyKey: "confirmation-0",
  isIdempotent: false,
  fence: 1,
  startedAtMs: 0,
  finishedAtMs: 1,
};

const attempt: CallerAttempt = {
  requestId: "request-0",
  idempotencyKey: "confirmation-0",
  key: "key",
  startedAtMs: 0,
  finishedAtMs: 2,
  outcome: AttemptOutcome.Answered,
  body: "roster/key/request-0",
  error: undefined,
};

function expectViolation(
  changes: Partial<CallerAttempt>,
  executions: readonly FakeExecution[],
  violation: OutcomeViolation,
): void {
  const found = findOutcomeViolations([{ ...attempt, ...changes }], executions);
  assert.is(found.length, 1);
  assert.match(found[0]!, violation);
}

describe("findOutcomeViolations", () => {
  describe("for consistent outcomes", () => {
    it("accepts the answer of the request's own execution", () => {
      assert.equal(findOutcomeViolations([attempt], [execution]), []);
    });

    it("accepts the first execution's answer to a repeated request", () => {
      const repeat = { ...attempt, requestId: "request-1" };
      assert.equal(findOutcomeViolations([repeat], [execution]), []);
    });
  });

  describe("for inconsistent outcomes", () => {
    it("reports a refused request that was executed", () => {
      const refused = { outcome: AttemptOutcome.NotSent };
      expectViolation(refused, [execution], OutcomeViolation.RefusedButRun);
    });

    it("reports an answer without an execution", () => {
      expectViolation({}, [], OutcomeViolation.AnsweredButNotRun);
    });

    it("reports the answer to another request", () => {
      const wrong = { body: "roster/key/request-9" };
      expectViolation(wrong, [execution], OutcomeViolation.WrongAnswer);
    });
  });
});
