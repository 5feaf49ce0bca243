import * as assert from "uvu/assert";
import { describe, it } from "../src/testing/describe.ts";
import { measureControlCost } from "./control_cost.ts";

const maxBytesPerDaemonSecond = 3_000;

describe("cost of control", () => {
  describe("in an idle fleet", () => {
    it("does not load the table more when the fleet grows", async () => {
      const small = await measureControlCost(6);
      const large = await measureControlCost(30);
      assert.is(large.tableReadsPerSecond, small.tableReadsPerSecond);
      assert.is(large.tableWritesPerSecond, small.tableWritesPerSecond);
      assert.ok(large.callsPerDaemonSecond <= 4);
      assert.ok(large.bytesPerDaemonSecond <= maxBytesPerDaemonSecond);
    });
  });
});
