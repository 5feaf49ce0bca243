import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";

function noteAnswers(
  limit: ConcurrencyLimit,
  count: number,
  latencyMs: number,
): void {
  for (let index = 0; index < count; index++) limit.noteAnswer(latencyMs);
}

describe("ConcurrencyLimit", () => {
  describe("slow start", () => {
    it("adds one slot for every four fast answers", () => {
      const limit = new ConcurrencyLimit(3, { isWarming: true });
      assert.is(limit.current, 1);
      noteAnswers(limit, 4, 5);
      assert.is(limit.current, 2);
      noteAnswers(limit, 8, 5);
      assert.is(limit.current, 3);
      assert.ok(limit.isAtMaximum);
    });

    it("does not raise the limit after slow answers", () => {
      const limit = new ConcurrencyLimit(3, { isWarming: true });
      noteAnswers(limit, 1, 5);
      noteAnswers(limit, 20, 100);
      assert.is(limit.current, 1);
    });
  });

  describe("overload", () => {
    it("halves the limit once for each burst, but never below one", () => {
      const limit = new ConcurrencyLimit(8, { isWarming: false });
      limit.noteOverload(0);
      limit.noteOverload(10);
      assert.is(limit.current, 4);
      for (let atMs = 1_000; atMs < 5_000; atMs += 500) {
        limit.noteOverload(atMs);
      }
      assert.is(limit.current, 1);
    });
  });
});
