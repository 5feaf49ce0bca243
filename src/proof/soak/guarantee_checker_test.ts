import * as assert from "uvu/assert";
import type { CallerRecord } from "../../../standins/fleet/caller_standin.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  findGuaranteeViolations,
  nonIdempotentMethod,
  type ServerExecution,
  type SoakEvidence,
} from "./guarantee_checker.ts";

const record: CallerRecord = {
  id: "a",
  daemonIndex: 0,
  method: nonIdempotentMethod,
  path: "/pay/confirm",
  key: undefined,
  body: "b",
  startedAtMs: 0,
  endedAtMs: 10,
  status: 200,
  answerBody: "answer to a",
  signature: "i-1:a",
  error: undefined,
};
const execution: ServerExecution = {
  serverId: "i-1",
  requestId: "a",
  key: undefined,
  method: nonIdempotentMethod,
  path: "/pay/confirm",
  body: "b",
};

function check(evidence: Partial<SoakEvidence>): string[] {
  return findGuaranteeViolations({
    records: [record],
    executions: [execution],
    isPlannedOnly: false,
    ...evidence,
  });
}

function assertViolation(
  evidence: Partial<SoakEvidence>,
  expected: RegExp,
): void {
  const violations = check(evidence);
  assert.is(violations.length, 1, violations.join("\n"));
  assert.match(violations[0]!, expected);
}

describe("findGuaranteeViolations", () => {
  it("accepts a request that was executed once and answered", () => {
    assert.equal(check({}), []);
  });

  describe("for non-idempotent requests", () => {
    it("reports a second execution", () => {
      const again = { ...execution, serverId: "i-2" };
      assertViolation(
        { executions: [execution, again] },
        /ran 2 times: i-1, i-2/,
      );
    });

    it("reports a refused request that was executed", () => {
      const refused = { ...record, status: 503, signature: undefined };
      assertViolation({ records: [refused] }, /status 503, but ran at i-1/);
    });

    it("accepts an unknown outcome under faults", () => {
      assert.equal(check({ records: [{ ...record, status: 502 }] }), []);
    });

    it("reports an answer lost during a planned operation", () => {
      const lost = { ...record, status: undefined, error: "closed" };
      assertViolation(
        { records: [lost], isPlannedOnly: true },
        /lost in planned work \(closed\)/,
      );
    });
  });

  describe("for idempotent requests", () => {
    it("accepts a second execution", () => {
      const method = "GET";
      const executions = [{ ...execution, method }, {
        ...execution,
        method,
        serverId: "i-2",
      }];
      assert.equal(check({ records: [{ ...record, method }], executions }), []);
    });
  });

  describe("for idempotent requests during a planned operation", () => {
    const read = { ...record, method: "GET" };
    const executions = [{ ...execution, method: "GET" }];

    it("reports an answer that was cut off", () => {
      const cutOff = { ...read, status: undefined, error: "closed" };
      assertViolation(
        { records: [cutOff], executions, isPlannedOnly: true },
        /lost in planned work \(closed\)/,
      );
    });

    it("accepts a failure, after which the read may be sent again", () => {
      const failed = { ...read, status: 502 };
      const evidence = { records: [failed], executions, isPlannedOnly: true };
      assert.equal(check(evidence), []);
    });
  });

  describe("for answers", () => {
    it("reports a success without an execution", () => {
      assertViolation({ executions: [] }, /signature i-1:a of no run/);
    });

    it("reports a success without a signature", () => {
      const unsigned = { ...record, signature: undefined };
      assertViolation({ records: [unsigned] }, /signature undefined of no run/);
    });

    it("reports the answer to another request", () => {
      const otherAnswer = { ...record, answerBody: "answer to b" };
      assertViolation(
        { records: [otherAnswer] },
        /answered with "answer to b"/,
      );
    });
  });

  describe("for executions", () => {
    it("reports an execution of a request that no caller has sent", () => {
      assertViolation({ records: [] }, /which nobody has sent/);
    });

    it("reports an execution with a changed body", () => {
      assertViolation(
        { executions: [{ ...execution, body: "c" }] },
        /its caller has not/,
      );
    });
  });
});
