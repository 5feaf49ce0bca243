import * as assert from "uvu/assert";
import {
  AllowanceFault,
  CallerSpread,
  runAllowanceScenario,
} from "../../testing/allowance_scenario.ts";
import { describe, it } from "../../testing/describe.ts";
import { DemandLeases } from "./home_sharing.ts";

const maxOverUse = 0.02;
const maxUnderUse = 0.05;
const createSharing = () => new DemandLeases();

function runSkewedScenario(fault: AllowanceFault, seed: number) {
  return runAllowanceScenario({
    seed,
    createSharing,
    fault,
    spread: CallerSpread.Skewed,
    demandRatio: 1.5,
    allowedCount: 500,
  });
}

describe("DemandLeases with 90% of the callers at one of 12 daemons", () => {
  const faults = [
    AllowanceFault.HotEntryLost,
    AllowanceFault.HomeLost,
    AllowanceFault.HotHomeLost,
    AllowanceFault.HomeFrozen,
    AllowanceFault.DaemonJoins,
  ];
  for (const [index, fault] of faults.entries()) {
    it(`keeps the use in any 10 s within +2% and -5% of the allowance with ${fault}`, async () => {
      const { overUse, underUse } = await runSkewedScenario(fault, 50 + index);
      assert.ok(overUse <= maxOverUse, `over-use ${overUse}`);
      assert.ok(underUse <= maxUnderUse, `under-use ${underUse}`);
    });
  }

  describe("while daemons cannot reach each other", () => {
    it("lets an isolated daemon add at most its equal share", async () => {
      const { overUse } = await runSkewedScenario(
        AllowanceFault.HotEntryCut,
        60,
      );
      assert.ok(overUse <= 1 / 12, `over-use ${overUse}`);
    });

    it("lets each side of a split add at most the allowance", async () => {
      const { overUse } = await runSkewedScenario(
        AllowanceFault.FleetSplit,
        61,
      );
      assert.ok(overUse <= 1, `over-use ${overUse}`);
    });
  });
});
