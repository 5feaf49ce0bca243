import * as assert from "uvu/assert";
import { MessageCode } from "../../diagnostics/messages.ts";
import { describe, it } from "../../testing/describe.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import { RetryBudget } from "./retry_budget.ts";
import { decideRetry, RetryDecision } from "./retry_policy.ts";

function decide(
  code: MessageCode,
  outcome: AttemptOutcome,
  isIdempotent = false,
): RetryDecision {
  return decideRetry(new RouterError(code, "test", { outcome }), {
    isIdempotent,
  });
}

describe("decideRetry", () => {
  describe("after an unknown outcome", () => {
    it("stops unless the request is idempotent", () => {
      const { OutcomeUnknown } = MessageCode;
      const { Unknown } = AttemptOutcome;
      assert.is(decide(OutcomeUnknown, Unknown), RetryDecision.Stop);
      assert.is(decide(OutcomeUnknown, Unknown, true), RetryDecision.BackOff);
    });
  });

  describe("after a refusal by the router's own limits", () => {
    for (
      const code of [
        MessageCode.LimitExceeded,
        MessageCode.Overloaded,
        MessageCode.RetryBudgetSpent,
      ]
    ) {
      it(`stops on ${code}`, () => {
        const decision = decide(code, AttemptOutcome.NotSent, true);
        assert.is(decision, RetryDecision.Stop);
      });
    }
  });

  describe("after an attempt that did not run", () => {
    it("backs off when the backend server refused the request", () => {
      assert.is(
        decide(MessageCode.BackendRefused, AttemptOutcome.RefusedUnrun),
        RetryDecision.BackOff,
      );
    });

    it("waits for a newer assignment when the daemon's was stale", () => {
      for (
        const code of [
          MessageCode.KeyMoving,
          MessageCode.NotHome,
          MessageCode.PeerUnreachable,
        ]
      ) {
        assert.is(
          decide(code, AttemptOutcome.NotSent),
          RetryDecision.AwaitAssignment,
        );
      }
    });
  });
});

describe("RetryBudget", () => {
  describe("when retries are requested all the time", () => {
    it("allows one retry for ten requests beyond a limited reserve", () => {
      const budget = new RetryBudget();
      let retryCount = 0;
      for (let count = 0; count < 10_000; count++) {
        budget.noteRequest("roster");
        while (budget.trySpend("roster")) retryCount += 1;
      }
      assert.ok(retryCount <= 10_000 * 0.1 + 10, `${retryCount} retries`);
      assert.ok(retryCount >= 990, `${retryCount} retries`);
    });
  });
});
