/**
 * Runs the soak test over a range of seeds, and prints one line for each seed
 * and one for each violated guarantee. `npm run soak -- --first 1 --count 50`.
 */
import meow from "meow";
import { createSoakPlan } from "../src/proof/soak/soak_plan.ts";
import { runSoak } from "../src/proof/soak/run_soak.ts";

const cli = meow(
  `
  Usage
    $ npm run soak -- [--first N] [--count N] [--seconds S] [--jobs N] [--folder F] [--set-backs N]

  Options
    --first    first seed; derived from the current time if omitted
    --count    number of seeds
    --seconds  duration of the fault injection, for each seed
    --jobs     number of concurrent runs
    --folder   folder for the daemons' settings and logs
    --set-backs  how often the store comes back from an older copy, for each seed
`,
  {
    importMeta: import.meta,
    flags: {
      first: { type: "number" },
      count: { type: "number", default: 10 },
      seconds: { type: "number", default: 15 },
      jobs: { type: "number", default: 2 },
      folder: { type: "string", default: "target/soak" },
      setBacks: { type: "number", default: 0 },
    },
  },
);

const { first = Date.now() % 1_000_000, count, seconds, jobs, folder } =
  cli.flags;
const seeds = Array.from({ length: count }, (_, i) => first + i);
const failedSeeds: number[] = [];

/** Runs seeds from the shared list until it is empty. */
async function runRemainingSeeds(): Promise<void> {
  for (;;) {
    const seed = seeds.shift();
    if (seed === undefined) return;
    const plan = createSoakPlan(seed, seconds * 1_000, {
      setBackCount: cli.flags.setBacks,
    });
    const report = await runSoak(plan, { folder });
    const { requestCount, servedCount, violations, recoveryMs } = report;
    const setBackText = report.setBackCallCounts.length === 0
      ? ""
      : `, calls to the store in 5 s after it was set back: ${report.setBackCallCounts}`;
    console.log(
      `seed ${seed}: ${plan.steps.length} events, ${servedCount} of ` +
        `${requestCount} served, ${violations.length} violations, ` +
        `recovered in ${Math.round(recoveryMs)} ms${setBackText}`,
    );
    if (violations.length === 0) continue;
    failedSeeds.push(seed);
    for (const violation of violations) console.log(`  ${violation}`);
  }
}

await Promise.all(Array.from({ length: jobs }, runRemainingSeeds));
console.log(
  failedSeeds.length === 0
    ? `${count} seeds: every guarantee upheld`
    : `violations with seeds ${failedSeeds.join(", ")}`,
);
process.exitCode = failedSeeds.length === 0 ? 0 : 1;
