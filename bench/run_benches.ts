/**
 * Lists and runs the benches. Prints each figure with its bound and exits with 1
 * when a figure is not within its bound. `--ci` runs only the benches whose
 * verdict is the same on every run.
 */
import meow from "meow";
import { type Bench, formatFigure, isWithinBound } from "./bench.ts";
import { AllowanceErrorBench } from "./allowance_error.ts";
import { LogCostBench } from "./log_cost.ts";
import { PlacementBench } from "./placement.ts";
import { RecoveryBench } from "./recovery.ts";
import { ThroughputBench } from "./throughput.ts";

const exitFailure = 1;
const exitUsage = 2;

function listBenches(): readonly Bench[] {
  return [
    new AllowanceErrorBench(),
    new PlacementBench(),
    new ThroughputBench(),
    new RecoveryBench(),
    new LogCostBench(),
  ];
}

const cli = meow(
  `
  Usage
    $ npm run bench -- [name ...] [flags]

  Flags
    --ci    only the benches whose verdict cannot vary
    --list  name the benches and exit
`,
  {
    importMeta: import.meta,
    flags: { ci: { type: "boolean" }, list: { type: "boolean" } },
  },
);

/** Runs a bench; returns whether every figure is within its bound. */
async function runBench(bench: Bench): Promise<boolean> {
  console.log(`== ${bench.name}: ${bench.summary}`);
  const figures = await bench.run((line) => console.log(line));
  for (const figure of figures) console.log(formatFigure(figure));
  return figures.every(isWithinBound);
}

function selectBenches(): readonly Bench[] {
  const named = listBenches()
    .filter(({ name }) => cli.input.length === 0 || cli.input.includes(name));
  return cli.flags.ci ? named.filter((b) => b.isRepeatable) : named;
}

const selected = selectBenches();
if (selected.length === 0) {
  console.error(`no bench is named ${cli.input.join(" or ")}`);
  process.exitCode = exitUsage;
}
for (const bench of selected) {
  if (cli.flags.list) {
    console.log(`${bench.name}: ${bench.summary}`);
  } else if (!(await runBench(bench))) {
    process.exitCode = exitFailure;
  }
}
