import * as assert from "uvu/assert";
import type { Clock } from "../src/host/clock.ts";
import { SeededRandomSource } from "../src/host/random_source.ts";
import { describe, it } from "../src/testing/describe.ts";
import { settleWithin } from "../src/testing/test_fleet.ts";
import { VirtualClock } from "../src/testing/virtual_clock.ts";
import { LoadOutcome, LoadTarget, OpenLoopLoad } from "./open_loop_load.ts";

/** Answers after a delay; requests sent during the stall are answered when it ends. */
class StallingTarget extends LoadTarget {
  readonly #clock: Clock;
  readonly #stall: { readonly fromMs: number; readonly toMs: number };

  constructor(
    clock: Clock,
    stall: { readonly fromMs: number; readonly toMs: number },
  ) {
    super();
    this.#clock = clock;
    this.#stall = stall;
  }

  override async send(): Promise<LoadOutcome> {
    const nowMs = this.#clock.nowMs();
    const isStalled = nowMs >= this.#stall.fromMs && nowMs < this.#stall.toMs;
    await this.#clock.sleep(isStalled ? this.#stall.toMs - nowMs : 5);
    return LoadOutcome.Answered;
  }
}

async function runLoad(stall: { fromMs: number; toMs: number }) {
  const clock = new VirtualClock();
  const load = new OpenLoopLoad({
    clock,
    random: new SeededRandomSource(3),
    target: new StallingTarget(clock, stall),
    requestsPerSecond: 50,
    durationMs: 10_000,
  });
  return await settleWithin(clock, load.run(), 60_000);
}

describe("OpenLoopLoad", () => {
  it("keeps sending requests while the target stalls", async () => {
    const report = await runLoad({ fromMs: 2_000, toMs: 4_000 });
    assert.ok(report.requestCount > 450 && report.requestCount < 550);
    assert.is(report.countByOutcome.answered, report.requestCount);
    assert.ok(report.seconds[2]!.answeredCount > 30);
  });

  it("measures the whole wait of requests scheduled during a stall", async () => {
    const report = await runLoad({ fromMs: 2_000, toMs: 4_000 });
    assert.ok(report.latencyMs.max > 1_900);
    assert.ok(
      report.latencyMs.p90 > 500,
      "a fifth of the requests is scheduled during the stall",
    );
    assert.ok(report.latencyMs.p50 < 7);
    assert.ok(report.seconds[2]!.p50Ms > 1_000);
    assert.ok(report.seconds[5]!.p99Ms < 7);
  });
});
