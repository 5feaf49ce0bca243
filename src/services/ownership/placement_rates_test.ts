import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { BackendServerState } from "../../types/enums.ts";
import { computeMovesPerSecond, MoveBudget } from "./placement_budget.ts";
import type { ServerObservation } from "./ownership.ts";
import { RateEstimator, type RateSample } from "./placement_rates.ts";
import { ServiceRates } from "./placement_service_rates.ts";

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
  it("keeps the proportions of shards while the load of the service doubles", () => {
    const rates = new RateEstimator(2);
    for (let i = 0; i < 30; i++) rates.update(createSample([100, 50]));
    for (let i = 0; i < 30; i++) rates.update(createSample([200, 100]));
    const [first, second] = rates.shardRates() as [number, number];
    assert.ok(Math.abs(first / second - 2) < 1e-9);
    assert.ok(first > 190 && first <= 200);
  });

  it("reports a hot key within seconds and excludes it from its shard's rate", () => {
    const rates = new RateEstimator(2);
    for (let i = 0; i < 30; i++) rates.update(createSample([100, 100]));
    for (let i = 0; i < 4; i++) rates.update(createSample([300, 100], 200));
    assert.is(rates.hotKeys()[0]?.key, "hot");
    assert.ok(rates.hotKeys()[0]!.requestsPerSecond > 100);
    const [first, second] = rates.shardRates() as [number, number];
    assert.ok(Math.abs(first - second) < 1);
  });

  it("removes a key that is no longer requested", () => {
    const rates = new RateEstimator(2);
    rates.update(createSample([100, 100], 50));
    for (let i = 0; i < 60; i++) rates.update(createSample([100, 100]));
    assert.equal(rates.hotKeys(), []);
  });
});

describe("MoveBudget", () => {
  it("refills at its rate up to the moves of one second", () => {
    const budget = new MoveBudget(0, { movesPerSecond: 2 });
    assert.is(budget.available(0), 2);
    budget.spend(2);
    assert.is(budget.available(400), 0);
    assert.is(budget.available(600), 1);
    assert.is(budget.available(60_000), 2);
  });

  it("allows more moves for a service with more shards", () => {
    assert.is(computeMovesPerSecond(16), 1);
    assert.is(computeMovesPerSecond(65_536), 256);
  });
});

describe("ServiceRates", () => {
  const shardOf = (key: string) => key === "hot" ? 0 : 1;

  function createObservation(
    serverId: string,
    parts: Partial<ServerObservation>,
  ): ServerObservation {
    return {
      service: "roster",
      serverId,
      state: BackendServerState.Live,
      completedCount: 0,
      queuedCount: 0,
      hotKeys: [],
      ...parts,
    };
  }

  it("sums the shard counts of all homes between two plans", () => {
    const rates = new ServiceRates(0, { shardCount: 2, shardOf });
    const counted = [{ shard: 1, completedCount: 30 }];
    rates.record(createObservation("server-0", { shardCounts: counted }));
    rates.record(createObservation("server-1", { shardCounts: counted }));
    rates.update(intervalMs);
    assert.equal(rates.shardRates().map(Math.round), [0, 60]);
  });

  it("counts a key once when two servers report it during its move", () => {
    const rates = new ServiceRates(0, { shardCount: 2, shardOf });
    const hotKeys = [{ key: "hot", requestsPerSecond: 40 }];
    rates.record(createObservation("server-0", { hotKeys }));
    rates.record(createObservation("server-1", { hotKeys }));
    rates.update(intervalMs);
    assert.equal(rates.hotKeys(), hotKeys);
    rates.retainServers(new Set());
    for (let i = 2; i < 60; i++) rates.update(i * intervalMs);
    assert.equal(rates.hotKeys(), []);
  });
});
