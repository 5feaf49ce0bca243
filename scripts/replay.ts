/**
 * Replays a trace on virtual time and compares the result with the expected
 * outcome in the file next to the trace. Exits 1 if they differ.
 */
import { existsSync, readFileSync } from "node:fs";
import meow from "meow";
import { formatTable } from "../src/plots/text_table.ts";
import {
  findDifferences,
  parseExpectedOutcome,
} from "../src/traces/expected_outcome.ts";
import type { ReplayReport } from "../src/traces/replay_report.ts";
import { replayTrace } from "../src/traces/replay_trace.ts";
import { parseTrace } from "../src/traces/trace_codec.ts";

const exitFailure = 1;
const exitUsage = 2;
const progressIntervalMs = 5_000;

const cli = meow(
  `
  Usage
    $ npm run replay -- traces/NAME.jsonl [flags]

  Flags
    --json  print the report as JSON
`,
  { importMeta: import.meta, flags: { json: { type: "boolean" } } },
);

function printReport(report: ReplayReport): void {
  const rows = report.services.map((s) => [
    s.service,
    String(s.requestCount),
    String(s.answeredCount),
    String(s.firstAttemptAnsweredCount),
    s.longestAnswerMs.toFixed(0),
    s.imbalance.toFixed(2),
    String(s.movedKeyCount),
    s.unavailableKeySeconds.toFixed(0),
    String(s.longestUnavailableMs),
  ]);
  const heading = [
    "service",
    "requests",
    "answered",
    "at first",
    "longest ms",
    "imbalance",
    "moved keys",
    "unavailable key s",
    "longest ms",
  ];
  console.log(formatTable([heading, ...rows]).join("\n"));
  console.log(`broken invariants: ${report.violations.length}`);
  for (const violation of report.violations) console.log(`  ${violation}`);
  console.log(`longest list edit: ${report.longestListEditMs} ms`);
}

/** Prints the differences from the expected outcome; returns whether there are none. */
function printDifferences(traceFile: string, report: ReplayReport): boolean {
  const file = traceFile.replace(/\.jsonl$/, ".expected.json");
  if (!existsSync(file)) {
    console.log(`no stated outcomes: ${file} does not exist`);
    return report.violations.length === 0;
  }
  const expected = parseExpectedOutcome(readFileSync(file, "utf8"));
  const differences = findDifferences(expected, report);
  if (differences.length === 0) console.log(`as stated in ${file}`);
  for (const difference of differences) console.log(`DIFFERS ${difference}`);
  return differences.length === 0;
}

async function main(traceFile: string): Promise<boolean> {
  const trace = parseTrace(readFileSync(traceFile, "utf8"));
  let nextProgressMs = progressIntervalMs;
  const report = await replayTrace(trace, (elapsedMs) => {
    if (elapsedMs < nextProgressMs) return;
    nextProgressMs += progressIntervalMs;
    const { durationMs } = trace.header;
    console.error(`replayed ${elapsedMs / 1_000} of ${durationMs / 1_000} s`);
  });
  if (cli.flags.json) console.log(JSON.stringify(report, undefined, 2));
  else printReport(report);
  return printDifferences(traceFile, report);
}

const [traceFile] = cli.input;
if (traceFile === undefined) {
  console.error(
    "no trace given; give its path, such as traces/lima_dawn.jsonl",
  );
  process.exitCode = exitUsage;
} else if (!(await main(traceFile))) {
  process.exitCode = exitFailure;
}
