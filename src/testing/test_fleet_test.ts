import * as assert from "uvu/assert";
import { describe, it } from "./describe.ts";
import { settleWithin, TestFleet } from "./test_fleet.ts";

describe("TestFleet", () => {
  describe("delivery through every daemon", () => {
    it("executes each request once, on the owner of its key", async () => {
      const fleet = new TestFleet({ seed: 1, daemonCount: 3, serverCount: 3 });
      await fleet.start();
      for (const daemon of fleet.daemons) {
        const request = fleet.createRequest({ key: "farm-7" });
        const result = await settleWithin(
          fleet.clock,
          fleet.deliver(daemon, request),
          5_000,
        );
        assert.ok(result.isOk(), result.isErr() ? result.error.message : "");
      }
      const executions = fleet.backends.executions();
      assert.is(executions.length, 3);
      assert.is(new Set(executions.map((e) => e.serverId)).size, 1);
      await fleet.stop();
    });
  });

  describe("start", () => {
    it("takes the same virtual time in every run", async () => {
      const instants = new Set<number>();
      for (let run = 0; run < 3; run++) {
        const fleet = new TestFleet({
          seed: 1,
          daemonCount: 3,
          serverCount: 3,
        });
        await fleet.start();
        instants.add(fleet.clock.nowMs());
        await fleet.stop();
      }
      assert.is(instants.size, 1, [...instants].join());
    });
  });
});
