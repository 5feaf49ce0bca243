import * as assert from "uvu/assert";
import * as fc from "fast-check";
import { describe, it } from "../testing/describe.ts";
import { FencingMode } from "../types/enums.ts";
import {
  createFaultScheduleArbitrary,
  type Fault,
  FaultKind,
} from "./fault_schedule.ts";
import { type FleetRunReport, runFleet } from "./fleet_run.ts";

function run(
  faults: readonly Fault[],
  fencingMode: FencingMode,
  seed = 1,
): Promise<FleetRunReport> {
  return runFleet(faults, {
    seed,
    fencingMode,
    daemonCount: 5,
    serverCount: 4,
    loadDurationMs: 10_000,
    loadIntervalMs: 20,
  });
}

function createFault(fault: Partial<Fault> & Pick<Fault, "kind">): Fault {
  return {
    startsAtMs: 1_000,
    durationMs: 2_000,
    targetIndex: 0,
    otherIndex: 0,
    ...fault,
  };
}

describe("a fleet under faults", () => {
  describe("with a schedule that once violated a guarantee", () => {
    it("releases no shard while a frozen server may still start an execution", async () => {
      const fault = createFault({
        kind: FaultKind.FreezeServer,
        startsAtMs: 7_670,
        durationMs: 1_220,
        targetIndex: 2,
      });
      const report = await run([fault], FencingMode.Checked);
      assert.equal(report.violations, []);
    });

    it("serves a key with an override whose shard moves to the same server", async () => {
      const fault = createFault({
        kind: FaultKind.ServerLosesAnswers,
        startsAtMs: 840,
        durationMs: 5_690,
        targetIndex: 7,
      });
      const report = await run([fault], FencingMode.Checked, 21);
      assert.equal(report.violations, []);
      assert.equal(report.recoveryErrors, []);
    });
  });

  describe("with three overlapping faults", () => {
    it("executes no confirmation twice", async () => {
      const faults = [
        createFault({
          kind: FaultKind.ServerLosesAnswers,
          startsAtMs: 3_290,
          durationMs: 5_000,
          targetIndex: 1,
        }),
        createFault({
          kind: FaultKind.FreezeServer,
          startsAtMs: 5_260,
          durationMs: 1_000,
          targetIndex: 13,
        }),
        createFault({
          kind: FaultKind.FreezeDaemon,
          startsAtMs: 5_950,
          durationMs: 4_950,
          targetIndex: 4,
        }),
      ];
      const report = await run(faults, FencingMode.Checked, 21);
      assert.equal(report.violations, []);
    });
  });

  for (const fencingMode of Object.values(FencingMode)) {
    describe(`with generated schedules and ${fencingMode} fences`, () => {
      it("upholds every guarantee and recovers", async () => {
        const schedules = createFaultScheduleArbitrary({
          maxFaultCount: 5,
          lengthMs: 8_000,
          maxDurationMs: 4_000,
        });
        await fc.assert(
          fc.asyncProperty(schedules, async (faults) => {
            const report = await run(faults, fencingMode);
            assert.equal(report.violations, []);
            assert.equal(report.recoveryErrors, []);
          }),
          { numRuns: 6, seed: 20_261_204 },
        );
      });
    });
  }
});
