import * as assert from "uvu/assert";
import { describe, it } from "./describe.ts";
import type { FakeExecution } from "./fake_backend.ts";
import {
  computeLongestGapMs,
  findViolations,
  InvariantKind,
} from "./invariant_checker.ts";

function createExecution(parts: Partial<FakeExecution>): FakeExecution {
  return {
    serverId: "server-0",
    service: "roster",
    key: "key",
    requestId: "request",
    idempotencyKey: undefined,
    isIdempotent: true,
    fence: 1,
    startedAtMs: 0,
    finishedAtMs: 10,
    ...parts,
  };
}

function kindsOf(...parts: Partial<FakeExecution>[]): InvariantKind[] {
  return findViolations(parts.map(createExecution)).map(({ kind }) => kind);
}

describe("the invariant checker", () => {
  describe("for the owners of a key", () => {
    it("accepts successive owners with rising fences", () => {
      assert.equal(
        kindsOf({}, { serverId: "server-1", fence: 2, startedAtMs: 10 }),
        [],
      );
    });

    it("reports two owners at the same time", () => {
      assert.equal(
        kindsOf({}, { serverId: "server-1", fence: 2, startedAtMs: 9 }),
        [InvariantKind.TwoOwners],
      );
    });

    it("reports a new owner while the previous owner has not finished", () => {
      assert.equal(
        kindsOf(
          { finishedAtMs: Number.POSITIVE_INFINITY },
          { startedAtMs: 1, finishedAtMs: 2 },
          { serverId: "server-1", fence: 2, startedAtMs: 50 },
        ),
        [InvariantKind.TwoOwners],
      );
    });

    it("reports a falling fence and a fence shared by two servers", () => {
      assert.equal(
        kindsOf({ fence: 2 }, { startedAtMs: 20 }),
        [InvariantKind.FenceFell],
      );
      assert.equal(
        kindsOf({}, { serverId: "server-1", startedAtMs: 20 }),
        [InvariantKind.FenceShared],
      );
    });
  });

  describe("for a request", () => {
    it("reports a second execution of a non-idempotent request", () => {
      const parts = { isIdempotent: false, idempotencyKey: "confirm-1" };
      assert.equal(
        kindsOf({ ...parts, requestId: "a" }, {
          ...parts,
          requestId: "b",
          startedAtMs: 20,
        }),
        [InvariantKind.RanTwice],
      );
    });
  });

  describe("for gaps between executions", () => {
    it("includes the gaps at both ends of the window", () => {
      const executions = [createExecution({ startedAtMs: 40 })];
      const gaps = computeLongestGapMs(executions, { fromMs: 0, toMs: 100 });
      assert.is(gaps.get("key"), 60);
    });
  });
});
