import * as assert from "uvu/assert";
import { describe, it } from "../src/testing/describe.ts";
import { type ControlCost, measureControlCost } from "./control_cost.ts";

/** Tolerates one read more or less at the edges of the measured interval. */
const windowEdgeFactor = 1.02;
const maxBytesPerDaemonSecond = 3_000;

describe("control traffic", () => {
  describe("in an idle fleet", () => {
    it("loads the table no more and stays bounded for each daemon as the fleet grows", async () => {
      const small = await measureControlCost(6);
      const large = await measureControlCost(30);
      const isFlat = (getFigure: (cost: ControlCost) => number) =>
        getFigure(large) <= getFigure(small) * windowEdgeFactor;
      assert.ok(isFlat((cost) => cost.tableReadsPerSecond));
      assert.ok(isFlat((cost) => cost.tableWritesPerSecond));
      assert.ok(large.callsPerDaemonSecond <= 4);
      assert.ok(large.bytesPerDaemonSecond <= maxBytesPerDaemonSecond);
    });
  });
});
