import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { VirtualClock } from "../../testing/virtual_clock.ts";
import {
  type IdempotencyRecord,
  IdempotencyRecords,
  idempotencyWindowMs,
  RecordState,
} from "./idempotency_records.ts";

const scope = {
  service: "confirmation",
  shard: 1,
  key: "farm",
  customer: "customer",
  idempotencyKey: "shift-1",
};

function createRecord(
  parts: Partial<IdempotencyRecord> = {},
): IdempotencyRecord {
  return {
    scope,
    attemptId: "attempt-1",
    fingerprint: "hash",
    state: RecordState.InProgress,
    answer: undefined,
    isLocal: false,
    expiresAtMs: idempotencyWindowMs,
    ...parts,
  };
}

describe("IdempotencyRecords", () => {
  describe("merge", () => {
    it("keeps an answered record when an intent arrives late", () => {
      const records = new IdempotencyRecords(new VirtualClock());
      records.put(createRecord({ state: RecordState.Answered }));
      records.merge(createRecord());
      assert.is(records.tryFind(scope)?.state, RecordState.Answered);
    });

    it("keeps an unknown outcome when its intent arrives late", () => {
      const records = new IdempotencyRecords(new VirtualClock());
      records.merge(createRecord({ state: RecordState.Unknown }));
      records.merge(createRecord());
      assert.is(records.tryFind(scope)?.state, RecordState.Unknown);
    });

    it("removes a record only for the attempt that did not run", () => {
      const records = new IdempotencyRecords(new VirtualClock());
      records.merge(createRecord({ attemptId: "attempt-2" }));
      records.merge(createRecord({ state: RecordState.Forgotten }));
      assert.is(records.tryFind(scope)?.attemptId, "attempt-2");
      records.merge(createRecord({
        attemptId: "attempt-2",
        state: RecordState.Forgotten,
      }));
      assert.is(records.tryFind(scope), undefined);
    });
  });

  describe("a local attempt", () => {
    it("is not replaced by late messages of a former home", () => {
      const records = new IdempotencyRecords(new VirtualClock());
      records.put(createRecord({ attemptId: "local", isLocal: true }));
      records.merge(createRecord({ attemptId: "former" }));
      records.merge(createRecord({
        attemptId: "former",
        state: RecordState.Forgotten,
      }));
      assert.is(records.tryFind(scope)?.attemptId, "local");
    });
  });

  describe("in bounded memory", () => {
    it("drops a record after the idempotency window", async () => {
      const clock = new VirtualClock();
      const records = new IdempotencyRecords(clock);
      records.put(createRecord());
      await clock.advance(idempotencyWindowMs - 1);
      assert.ok(records.tryFind(scope));
      await clock.advance(1);
      assert.is(records.tryFind(scope), undefined);
    });

    it("drops answers but keeps records above the answer capacity", () => {
      const records = new IdempotencyRecords(new VirtualClock());
      const body = new Uint8Array(16 * 1_024);
      for (let count = 0; count < 1_100; count++) {
        records.put(createRecord({
          scope: { ...scope, idempotencyKey: `shift-${count}` },
          state: RecordState.Answered,
          answer: { status: 200, headers: {}, body },
        }));
      }
      const last = records.tryFind({ ...scope, idempotencyKey: "shift-1099" });
      assert.is(last?.state, RecordState.Answered);
      assert.is(last?.answer, undefined);
    });

    it("reports a full table until records expire", async () => {
      const clock = new VirtualClock();
      const records = new IdempotencyRecords(clock);
      for (let count = 0; count < 100_000; count++) {
        records.put(createRecord({
          scope: { ...scope, idempotencyKey: `shift-${count}` },
        }));
      }
      assert.ok(records.isFull);
      await clock.advance(idempotencyWindowMs);
      assert.not(records.isFull);
    });
  });
});
