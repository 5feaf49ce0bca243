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
  seen: Partial<CallerAttempt>,
  executions: readonly FakeExecution[],
  violation: OutcomeViolation,
): void {
  const found = findOutcomeViolations([{ ...attempt, ...seen }], executions);
  assert.is(found.length, 1);
  assert.match(found[0]!, violation);
}

describe("findOutcomeViolations", () => {
  describe("what holds", () => {
    it("accepts the answer of the run itself", () => {
      assert.equal(findOutcomeViolations([attempt], [execution]), []);
    });

    it("accepts a repeat answered with the first run's answer", () => {
      const repeat = { ...attempt, requestId: "request-1" };
      assert.equal(findOutcomeViolations([repeat], [execution]), []);
    });
  });

  describe("what is broken", () => {
    it("finds a refusal of work that ran", () => {
      const refused = { outcome: AttemptOutcome.NotSent };
      expectViolation(refused, [execution], OutcomeViolation.RefusedButRun);
    });

    it("finds an answer without a run", () => {
      expectViolation({}, [], OutcomeViolation.AnsweredButNotRun);
    });

    it("finds an answer that belongs to another request", () => {
      const wrong = { body: "roster/key/request-9" };
      expectViolation(wrong, [execution], OutcomeViolation.WrongAnswer);
    });
  });
});
