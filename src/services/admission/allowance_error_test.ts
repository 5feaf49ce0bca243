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

describe("DemandLeases over any 10 s, callers skewed to one of 12", () => {
  const faults = [
    AllowanceFault.HotEntryLost,
    AllowanceFault.HomeLost,
    AllowanceFault.HotHomeLost,
    AllowanceFault.HomeFrozen,
    AllowanceFault.DaemonJoins,
  ];
  for (const [index, fault] of faults.entries()) {
    it(`keeps within 2% over and 5% under with ${fault}`, async () => {
      const { overUse, underUse } = await runSkewedScenario(fault, 50 + index);
      assert.ok(overUse <= maxOverUse, `over-use ${overUse}`);
      assert.ok(underUse <= maxUnderUse, `under-use ${underUse}`);
    });
  }

  describe("while peers are cut", () => {
    it("a cut daemon adds at most its equal share", async () => {
      const { overUse } = await runSkewedScenario(
        AllowanceFault.HotEntryCut,
        60,
      );
      assert.ok(overUse <= 1 / 12, `over-use ${overUse}`);
    });

    it("each side of a split adds at most the whole allowance", async () => {
      const { overUse } = await runSkewedScenario(
        AllowanceFault.FleetSplit,
        61,
      );
      assert.ok(overUse <= 1, `over-use ${overUse}`);
    });
  });
});
