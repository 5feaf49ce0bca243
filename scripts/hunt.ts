/**
 * Searches for violated guarantees: runs generated fault schedules against whole
 * daemons on virtual time and prints the measurements of each run. On a
 * violation, prints the seed and the shortest failing schedule found.
 * `npm run hunt -- --runs 50 --seed 1`.
 */
import * as fc from "fast-check";
import meow from "meow";
import {
  createFaultScheduleArbitrary,
  formatFaultSchedule,
} from "../src/proof/fault_schedule.ts";
import { type FleetRunReport, runFleet } from "../src/proof/fleet_run.ts";
import { FencingMode } from "../src/types/enums.ts";

const cli = meow(
  `
  Usage
    $ npm run hunt -- [--runs N] [--seed N] [--faults N] [--unchecked]
`,
  {
    importMeta: import.meta,
    flags: {
      runs: { type: "number", default: 20 },
      seed: { type: "number", default: 1 },
      faults: { type: "number", default: 6 },
      unchecked: { type: "boolean", default: false },
    },
  },
);

const schedules = createFaultScheduleArbitrary({
  maxFaultCount: cli.flags.faults,
  lengthMs: 8_000,
  maxDurationMs: 6_000,
});
const fencingMode = cli.flags.unchecked
  ? FencingMode.Unchecked
  : FencingMode.Checked;

function printReport(report: FleetRunReport): void {
  console.log(
    `${report.answeredCount}/${report.attemptCount} answered, ` +
      `longest gap ${report.longestGapMs} ms, recovered ` +
      `${report.recoveredCount}/${report.probeCount}, ` +
      `${report.violations.length} violations`,
  );
}

const result = await fc.check(
  fc.asyncProperty(schedules, async (schedule) => {
    const report = await runFleet(schedule, {
      seed: cli.flags.seed,
      fencingMode,
      daemonCount: 5,
      serverCount: 4,
      loadDurationMs: 10_000,
      loadIntervalMs: 20,
    });
    printReport(report);
    const failures = [...report.violations, ...report.recoveryErrors];
    if (failures.length > 0) throw new Error(failures.join("\n"));
  }),
  { numRuns: cli.flags.runs, seed: cli.flags.seed, endOnFailure: false },
);

if (result.failed) {
  const [schedule = []] = result.counterexample ?? [];
  console.log(`seed ${cli.flags.seed}, path ${result.counterexamplePath}`);
  console.log(formatFaultSchedule(schedule));
  console.log(String(result.errorInstance));
  process.exitCode = 1;
} else {
  console.log(`${result.numRuns} schedules, seed ${cli.flags.seed}: all held`);
}
