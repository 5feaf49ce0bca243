import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { computeMovesPerSecond, MoveBudget } from "./placement_budget.ts";
import { RateEstimator, type RateSample } from "./placement_rates.ts";

const intervalMs = 1_000;

function createSample(
  shardCounts: readonly number[],
  hotCount = 0,
): RateSample {
  const keyCounts = hotCount === 0
    ? []
    : [{ key: "hot", shard: 0, count: hotCount }];
  return { intervalMs, shardCounts, keyCounts };
}

describe("RateEstimator", () => {
  it("keeps the proportions of shards while the whole service doubles", () => {
    const rates = new RateEstimator(2);
    for (let i = 0; i < 30; i++) rates.update(createSample([100, 50]));
    for (let i = 0; i < 30; i++) rates.update(createSample([200, 100]));
    const [first, second] = rates.shardRates() as [number, number];
    assert.ok(Math.abs(first / second - 2) < 1e-9);
    assert.ok(first > 190 && first <= 200);
  });

  it("reports a hot key within seconds and leaves it out of its shard", () => {
    const rates = new RateEstimator(2);
    for (let i = 0; i < 30; i++) rates.update(createSample([100, 100]));
    for (let i = 0; i < 4; i++) rates.update(createSample([300, 100], 200));
    assert.is(rates.hotKeys()[0]?.key, "hot");
    assert.ok(rates.hotKeys()[0]!.requestsPerSecond > 100);
    const [first, second] = rates.shardRates() as [number, number];
    assert.ok(Math.abs(first - second) < 1);
  });

  it("forgets a key that is no longer requested", () => {
    const rates = new RateEstimator(2);
    rates.update(createSample([100, 100], 50));
    for (let i = 0; i < 60; i++) rates.update(createSample([100, 100]));
    assert.equal(rates.hotKeys(), []);
  });
});

describe("MoveBudget", () => {
  it("refills at its rate and never beyond one second's worth", () => {
    const budget = new MoveBudget(0, { movesPerSecond: 2 });
    assert.is(budget.available(0), 2);
    budget.spend(2);
    assert.is(budget.available(400), 0);
    assert.is(budget.available(600), 1);
    assert.is(budget.available(60_000), 2);
  });

  it("grows with the shards of the service", () => {
    assert.is(computeMovesPerSecond(16), 1);
    assert.is(computeMovesPerSecond(65_536), 256);
  });
});
