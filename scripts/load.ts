/**
 * Sends open-loop load to given daemons, or to a small fleet that the script
 * starts, and prints quantiles of the latency since each request's scheduled
 * instant.
 */
import { writeFileSync } from "node:fs";
import meow from "meow";
import { SeededRandomSource } from "../src/host/random_source.ts";
import { SystemClock } from "../src/host/system_clock.ts";
import { createSvgPlot } from "../src/plots/svg_plot.ts";
import { formatTable } from "../src/plots/text_table.ts";
import { DemoFleet } from "./demo_fleet.ts";
import { HttpLoadTarget } from "./http_load_target.ts";
import {
  LoadOutcome,
  type LoadReport,
  OpenLoopLoad,
} from "./open_loop_load.ts";

const exitFailure = 1;
const progressIntervalMs = 1_000;
const demoFleetOptions = {
  daemonCount: 2,
  serverCountByService: { roster: 3, "flood-map": 3 },
};

const cli = meow(
  `
  Usage
    $ npm run load -- [flags]

  Flags
    --address      host:port of a daemon's entry; repeat for several. Without
                   it, a fleet of 2 daemons is started and stopped
    --rate         requests per second (default 200)
    --duration-s   seconds of load (default 10)
    --service      service to call (default flood-map)
    --customer     customer to call as (default puddlewatch-residents)
    --method       GET or POST (default GET)
    --keys         number of keys (default 1000)
    --zipf         exponent of the keys' Zipf distribution (default 0.8)
    --connections  connections to each daemon (default 64)
    --seed         seed of arrivals and keys (default 1)
    --plot         file for an SVG plot of latency over time
    --json         print the report as JSON
`,
  {
    importMeta: import.meta,
    flags: {
      address: { type: "string", isMultiple: true },
      rate: { type: "number", default: 200 },
      durationS: { type: "number", default: 10 },
      service: { type: "string", default: "flood-map" },
      customer: { type: "string", default: "puddlewatch-residents" },
      method: { type: "string", default: "GET", choices: ["GET", "POST"] },
      keys: { type: "number", default: 1_000 },
      zipf: { type: "number", default: 0.8 },
      connections: { type: "number", default: 64 },
      seed: { type: "number", default: 1 },
      plot: { type: "string" },
      json: { type: "boolean" },
    },
  },
);

/** Updates one line of progress on the terminal until the signal is aborted. */
async function showProgress(
  load: OpenLoopLoad,
  clock: SystemClock,
  signal: AbortSignal,
): Promise<void> {
  const startedAtMs = clock.nowMs();
  while (!signal.aborted) {
    await clock.sleep(progressIntervalMs, signal);
    const elapsedS = Math.round((clock.nowMs() - startedAtMs) / 1_000);
    process.stderr.write(
      `\r${elapsedS} of ${cli.flags.durationS} s, ` +
        `${load.requestCount()} sent, ${load.answeredCount()} answered `,
    );
  }
  process.stderr.write("\n");
}

async function runLoad(addresses: readonly string[]): Promise<LoadReport> {
  const { flags } = cli;
  const clock = new SystemClock();
  const random = new SeededRandomSource(flags.seed);
  const target = new HttpLoadTarget({
    addresses,
    service: flags.service,
    customer: flags.customer,
    method: flags.method === "POST" ? "POST" : "GET",
    keyCount: flags.keys,
    zipfExponent: flags.zipf,
    connectionsPerAddress: flags.connections,
    random,
  });
  const load = new OpenLoopLoad({
    clock,
    random,
    target,
    requestsPerSecond: flags.rate,
    durationMs: flags.durationS * 1_000,
  });
  const loadEnded = new AbortController();
  const progress = showProgress(load, clock, loadEnded.signal);
  const report = await load.run();
  loadEnded.abort();
  await progress;
  await target.close();
  return report;
}

function printReport(report: LoadReport): void {
  const { countByOutcome, latencyMs } = report;
  const outcomes = Object.values(LoadOutcome)
    .map((outcome) => [outcome, String(countByOutcome[outcome])]);
  const quantiles = Object.entries(latencyMs)
    .map(([name, value]) => [`latency ${name}, ms`, value.toFixed(2)]);
  const rows = [
    ["requests", String(report.requestCount)],
    ...outcomes,
    ["offered a second", String(cli.flags.rate)],
    ...quantiles,
  ];
  console.log(formatTable(rows).join("\n"));
}

function writePlot(file: string, report: LoadReport): void {
  const series = (name: string, read: "p50Ms" | "p99Ms") => ({
    name,
    points: report.seconds.map((s) => ({ x: s.second, y: s[read] })),
  });
  const svg = createSvgPlot({
    title: `${cli.flags.service}, ${cli.flags.rate} requests/s`,
    xLabel: "scheduled instant, s",
    yLabel: "latency, ms",
    series: [series("p50", "p50Ms"), series("p99", "p99Ms")],
  });
  writeFileSync(file, svg);
}

async function runAgainstDemoFleet(): Promise<LoadReport> {
  const fleet = new DemoFleet(demoFleetOptions);
  try {
    await fleet.start();
    return await runLoad(fleet.daemons.map((d) => d.entryAddress));
  } finally {
    await fleet.stop();
  }
}

const addresses = cli.flags.address ?? [];
const report = addresses.length > 0
  ? await runLoad(addresses)
  : await runAgainstDemoFleet();
if (cli.flags.json) console.log(JSON.stringify(report, undefined, 2));
else printReport(report);
if (cli.flags.plot !== undefined) writePlot(cli.flags.plot, report);
if (report.countByOutcome.answered === 0) process.exitCode = exitFailure;
