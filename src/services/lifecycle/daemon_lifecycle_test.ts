import * as assert from "uvu/assert";
import { ServiceName } from "../../kernel/service_name.ts";
import { describe, it } from "../../testing/describe.ts";
import { settleWithin, TestFleet } from "../../testing/test_fleet.ts";
import { createListTexts } from "../../testing/test_lists.ts";
import { DaemonState } from "../../types/enums.ts";
import { DaemonLifecycle } from "./daemon_lifecycle.ts";

/** Starts a lifecycle service on top of a fleet with one daemon. */
async function createHarness(options: { readonly serverCount: number }) {
  const fleet = new TestFleet({ seed: 7, daemonCount: 1, ...options });
  await fleet.start();
  const { kernel, log } = fleet.daemons[0]!;
  const lifecycle = new DaemonLifecycle();
  await lifecycle.start(kernel);
  async function stop(): Promise<void> {
    const stopped = lifecycle.stop();
    await fleet.clock.advance(1_000);
    await stopped;
    await fleet.stop();
  }
  return { fleet, kernel, log, lifecycle, stop };
}

async function applyLists(
  { fleet, kernel }: Awaited<ReturnType<typeof createHarness>>,
): Promise<void> {
  const lists = kernel.get(ServiceName.Lists);
  const baseVersion = lists.current()?.version ?? 0;
  const applied = lists.apply(createListTexts(), { baseVersion, author: "a" });
  const result = await settleWithin(fleet.clock, applied, 5_000);
  assert.ok(result.isOk(), result.isErr() ? result.error.message : "");
}

describe("DaemonLifecycle", () => {
  describe("readiness", () => {
    it("requires an assignment", async () => {
      const harness = await createHarness({ serverCount: 0 });
      await harness.fleet.clock.advance(1_000);
      assert.is(harness.lifecycle.state(), DaemonState.Starting);
      assert.match(
        harness.lifecycle.blockers().join(),
        /no assignment of any service/,
      );
      await harness.stop();
    });

    it("requires lists", async () => {
      const harness = await createHarness({ serverCount: 1 });
      const { lifecycle, fleet } = harness;
      const isReadyBefore = lifecycle.state() === DaemonState.Ready;
      const initialLists = harness.kernel.get(ServiceName.Lists).current();
      assert.is(isReadyBefore, initialLists !== undefined);
      await applyLists(harness);
      await fleet.clock.advance(1_000);
      assert.equal(lifecycle.blockers(), []);
      assert.is(lifecycle.state(), DaemonState.Ready);
      await harness.stop();
    });

    it("reports the platform as a blocker only while the platform is down", async () => {
      const harness = await createHarness({ serverCount: 0 });
      const { fleet, lifecycle } = harness;
      fleet.platform.fault = { ...fleet.platform.fault, isDown: true };
      await fleet.clock.advance(5_000);
      assert.match(lifecycle.blockers().join(), /SR7001/);
      fleet.platform.fault = { ...fleet.platform.fault, isDown: false };
      await fleet.clock.advance(5_000);
      assert.not.match(lifecycle.blockers().join(), /SR7001/);
      await harness.stop();
    });

    it("is kept while the platform is down", async () => {
      const harness = await createHarness({ serverCount: 1 });
      const { fleet, lifecycle } = harness;
      await applyLists(harness);
      fleet.platform.fault = { ...fleet.platform.fault, isDown: true };
      await fleet.clock.advance(20_000);
      assert.is(lifecycle.state(), DaemonState.Ready);
      fleet.platform.fault = { ...fleet.platform.fault, isDown: false };
      await harness.stop();
    });
  });

  describe("beginDraining", () => {
    it("changes the state at once, informs the peers and logs one line", async () => {
      const harness = await createHarness({ serverCount: 1 });
      const { kernel, lifecycle, log, fleet } = harness;
      await fleet.clock.advance(1_000);
      const lineCount = log.lines.length;
      lifecycle.beginDraining();
      lifecycle.beginDraining();
      assert.is(lifecycle.state(), DaemonState.Draining);
      assert.ok(kernel.get(ServiceName.Membership).self().isDraining);
      await lifecycle.waitForDraining();
      await fleet.clock.advance(2_000);
      const lines = log.lines.slice(lineCount)
        .filter((line) => line === "daemon state changed");
      assert.is(lines.length, 1);
      await harness.stop();
    });
  });
});
