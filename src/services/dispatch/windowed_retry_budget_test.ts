import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { WindowedRetryBudget } from "./windowed_retry_budget.ts";

const bounds = { windowMs: 10_000, ratio: 0.2, extraCount: 56 };

function spendAll(
  budget: WindowedRetryBudget,
  options: { readonly nowMs: number; readonly daemonCount: number },
): number {
  let count = 0;
  while (budget.trySpend("s", options)) count += 1;
  return count;
}

describe("WindowedRetryBudget", () => {
  it("keeps a fleet without requests within the additional retries", () => {
    const daemonCount = 8;
    const total = Array.from(
      { length: daemonCount },
      () =>
        spendAll(new WindowedRetryBudget(bounds), { nowMs: 0, daemonCount }),
    )
      .reduce((sum, count) => sum + count, 0);
    assert.ok(total > 0);
    assert.ok(total <= bounds.extraCount);
  });

  it("allows more retries with more requests", () => {
    const budget = new WindowedRetryBudget(bounds);
    for (let i = 0; i < 500; i++) budget.noteRequest("s", 0);
    const count = spendAll(budget, { nowMs: 0, daemonCount: 8 });
    assert.ok(count > 50);
    assert.ok(count <= 500 * bounds.ratio + bounds.extraCount / 8);
  });

  it("keeps within the limit over any window", () => {
    const budget = new WindowedRetryBudget(bounds);
    const spentAtMs: number[] = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
      for (let i = 0; i < 5; i++) budget.noteRequest("s", nowMs);
      while (budget.trySpend("s", { nowMs, daemonCount: 1 })) {
        spentAtMs.push(nowMs);
      }
    }
    for (let startsAtMs = 0; startsAtMs < 50_000; startsAtMs += 500) {
      const count = spentAtMs.filter((atMs) =>
        startsAtMs <= atMs && atMs < startsAtMs + bounds.windowMs
      ).length;
      assert.ok(count <= 500 * bounds.ratio + bounds.extraCount, `${count}`);
    }
  });

  it("counts each service separately", () => {
    const budget = new WindowedRetryBudget(bounds);
    spendAll(budget, { nowMs: 0, daemonCount: 1 });
    assert.ok(budget.trySpend("other", { nowMs: 0, daemonCount: 1 }));
  });
});
