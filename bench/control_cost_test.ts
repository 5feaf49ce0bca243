import * as assert from "uvu/assert";
import { describe, it } from "../src/testing/describe.ts";
import { type ControlCost, measureControlCost } from "./control_cost.ts";

/** Allows for one more or less read at the edges of the counted window. */
const windowEdgeFactor = 1.02;
const maxBytesPerDaemonSecond = 3_000;

describe("cost of control", () => {
  describe("in an idle fleet", () => {
    it("does not load the table more when the fleet grows", async () => {
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
