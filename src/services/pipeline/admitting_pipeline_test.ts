import { err, ok } from "neverthrow";
import * as assert from "uvu/assert";
import { MessageCode } from "../../diagnostics/messages.ts";
import { SeededRandomSource } from "../../host/random_source.ts";
import { Kernel } from "../../kernel/kernel.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  createTextResponse,
  ScriptedAdmission,
  ScriptedDelivery,
} from "../../testing/loopback_entry.ts";
import { VirtualClock } from "../../testing/virtual_clock.ts";
import { AttemptOutcome, RequestClass } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type { RoutedRequest } from "../../types/types.ts";
import { TimingName } from "../metrics/metrics.ts";
import { StatsdMetrics } from "../metrics/statsd_metrics.ts";
import { AdmittingPipeline } from "./admitting_pipeline.ts";
import { RefusalHistory } from "./refusal_history.ts";

const neverAborted = new AbortController().signal;

async function createHarness() {
  const clock = new VirtualClock();
  const delivery = new ScriptedDelivery();
  const admission = new ScriptedAdmission();
  const metrics = new StatsdMetrics({ address: undefined, daemonId: "d" });
  const pipeline = new AdmittingPipeline();
  const kernel = new Kernel();
  const services = [
    clock,
    new SeededRandomSource(1),
    delivery,
    admission,
    metrics,
    pipeline,
  ];
  for (const service of services) kernel.register(service);
  await kernel.start();
  return { clock, delivery, admission, metrics, pipeline };
}

function createRequest(parts: Partial<RoutedRequest> = {}): RoutedRequest {
  return {
    requestId: "r-1",
    customer: "cuadrillas",
    service: "roster",
    key: "farm-7",
    requestClass: RequestClass.LiveRead,
    isIdempotent: true,
    idempotencyKey: undefined,
    method: "GET",
    path: "/",
    headers: {},
    body: new Uint8Array(),
    deadlineAtMs: 1_000,
    ...parts,
  };
}

describe("AdmittingPipeline", () => {
  describe("when delivery fails", () => {
    for (const outcome of Object.values(AttemptOutcome)) {
      const expectedCount = outcome === AttemptOutcome.NotSent ? 1 : 0;
      it(`refunds ${expectedCount} times on outcome ${outcome}`, async () => {
        const { admission, delivery, pipeline } = await createHarness();
        delivery.script = () =>
          Promise.resolve(err(
            new RouterError(MessageCode.NoOwner, "deliver", { outcome }),
          ));
        await pipeline.run(createRequest(), neverAborted);
        assert.is(admission.refundCount, expectedCount);
      });
    }

    it("reports outcome unknown on an unexpected exception", async () => {
      const { delivery, pipeline } = await createHarness();
      delivery.script = () => Promise.reject(new Error("defect"));
      const result = await pipeline.run(createRequest(), neverAborted);
      assert.is(result._unsafeUnwrapErr().outcome, AttemptOutcome.Unknown);
    });
  });

  describe("admission", () => {
    it("records a refused request and does not deliver it", async () => {
      const { admission, delivery, metrics, pipeline } = await createHarness();
      admission.script = () =>
        err(
          new RouterError(MessageCode.LimitExceeded, "admit", {
            limitName: "basic/live-read/burst",
          }),
        );
      await pipeline.run(createRequest(), neverAborted);
      assert.is(delivery.delivered.length, 0);
      assert.is(metrics.counters().get("requests.refused{SR4001}"), 1);
      const record = pipeline.tryFindRefusal("r-1");
      assert.is(record?.failure.limitName, "basic/live-read/burst");
    });

    it("passes the plan's rank to delivery", async () => {
      const { delivery, pipeline } = await createHarness();
      await pipeline.run(createRequest(), neverAborted);
      assert.is(delivery.delivered[0]?.planRank, 7);
    });
  });

  describe("during a request", () => {
    it("records the total time at the last byte of the answer", async () => {
      const { clock, delivery, metrics, pipeline } = await createHarness();
      delivery.script = async () => {
        await clock.sleep(50);
        return ok(createTextResponse("x"));
      };
      const running = pipeline.run(createRequest(), neverAborted);
      await clock.advance(50);
      const result = await running;
      assert.is(pipeline.inFlightCount(), 1);
      assert.equal(metrics.histograms(), []);
      for await (const _chunk of result._unsafeUnwrap().body);
      assert.is(pipeline.inFlightCount(), 0);
      const [histogram] = metrics.histograms();
      assert.is(histogram?.timing, TimingName.Total);
      assert.is(Math.round(histogram?.maxMs ?? 0), 50);
    });

    it("aborts delivery at the deadline", async () => {
      const { clock, delivery, pipeline } = await createHarness();
      delivery.script = async (_request, signal) => {
        await clock.sleep(60_000, signal);
        return err(new RouterError(MessageCode.DeadlineExceeded, "deliver"));
      };
      const running = pipeline.run(createRequest(), neverAborted);
      await clock.advance(1_000);
      assert.ok((await running).isErr());
      assert.is(clock.nowMs(), 1_000);
      assert.is(pipeline.inFlightCount(), 0);
    });
  });
});

describe("RefusalHistory", () => {
  it("keeps the newest refusals up to its capacity", () => {
    const history = new RefusalHistory(2);
    const failure = new RouterError(MessageCode.NoOwner, "locate");
    for (const requestId of ["a", "b", "c"]) {
      const refusal = { requestId, failure, wallTimeMs: 0 };
      history.add({ ...refusal, listsVersion: undefined });
    }
    assert.is(history.size, 2);
    assert.is(history.tryFind("a"), undefined);
    assert.is(history.tryFind("c")?.requestId, "c");
  });
});
