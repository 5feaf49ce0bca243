/**
 * Measures the throughput and the added latency of one daemon process relative
 * to a bare forwarder, in alternating rounds of the same run, with the same
 * backend server stand-ins and callers. All programs run in the form that
 * `npm run build` compiles.
 */
import { SeededRandomSource } from "../src/host/random_source.ts";
import { SystemClock } from "../src/host/system_clock.ts";
import { DemoFleet, waitForStatus } from "../scripts/demo_fleet.ts";
import { HttpLoadTarget } from "../scripts/http_load_target.ts";
import {
  type LatencySummary,
  OpenLoopLoad,
} from "../scripts/open_loop_load.ts";
import { findFreePort } from "../scripts/free_port.ts";
import { ProgramForm } from "../scripts/process_group.ts";
import { formatTable } from "../src/plots/text_table.ts";
import { Bench, BoundKind, type Figure } from "./bench.ts";
import { runClosedLoop } from "./closed_loop.ts";

const service = "flood-map";
const customer = "puddlewatch-residents";
const backendCount = 6;
const slotCount = 6;
const callerCount = 64;
const roundCount = 3;
const roundDurationMs = 4_000;
const warmUpDurationMs = 10_000;
const latencyRate = 500;
const latencyDurationMs = 6_000;
const targetRatio = 0.8;
const targetRequestsPerSecond = 5_500;

const services = `
- { name: ${service}, requestClass: live-read, shardCount: 64, fencingMode: unchecked, slotsPerServer: ${slotCount}, connectionsPerServer: 110, churnWeight: 1 }
`;

/** Lists with an allowance that is too high for any measurement to reach. */
const lists = {
  plansText: `customers:\n  ${customer}: unlimited\n`,
  allowancesText: [
    "plans:",
    "  unlimited:",
    "    rank: 1",
    "    allowances:",
    "      live-read:",
    "        burst: { requestCount: 1000000, windowMs: 1000 }",
    "        sustained: { requestCount: 10000000, windowMs: 10000 }",
    "",
  ].join("\n"),
};

/** A process that is measured. */
interface Subject {
  readonly name: string;
  readonly target: HttpLoadTarget;
  answeredCount: number;
  unansweredCount: number;
  durationMs: number;
  latencyMs: LatencySummary | undefined;
}

/** Compares a daemon with a bare forwarder. */
export class ThroughputBench extends Bench {
  override readonly name = "throughput";
  override readonly summary =
    "requests a second and latency of one daemon and of a bare forwarder, " +
    "in alternating rounds, with real processes";
  override readonly isRepeatable = false;
  readonly #clock = new SystemClock();

  override async run(
    print: (line: string) => void,
  ): Promise<readonly Figure[]> {
    const fleet = new DemoFleet({
      daemonCount: 1,
      programForm: ProgramForm.Compiled,
      serverCountByService: { [service]: backendCount },
      lists,
      daemonEnvironment: { SKYLARKRIDGE_SERVICES: services },
      serverEnvironment: {
        STANDIN_SLOTS: String(slotCount),
        STANDIN_CONNECTIONS: "200",
        STANDIN_SERVICE_TIME_MS: "0",
      },
    });
    try {
      await fleet.start();
      const bareAddress = await startBareForwarder(fleet);
      const bare = createSubject("bare forwarder", bareAddress);
      const daemon = createSubject("daemon", fleet.daemons[0]!.entryAddress);
      await this.#measure([bare, daemon]);
      formatTable(createRows([bare, daemon])).forEach(print);
      return createFigures(bare, daemon);
    } finally {
      await fleet.stop();
    }
  }

  async #measure(subjects: readonly Subject[]): Promise<void> {
    for (const { target } of subjects) {
      await this.#runRound(target, warmUpDurationMs);
    }
    for (let round = 0; round < roundCount; round++) {
      for (const subject of subjects) {
        const report = await this.#runRound(subject.target, roundDurationMs);
        subject.answeredCount += report.answeredCount;
        subject.unansweredCount += report.unansweredCount;
        subject.durationMs += report.durationMs;
      }
    }
    for (const subject of subjects) {
      const load = new OpenLoopLoad({
        clock: this.#clock,
        random: new SeededRandomSource(1),
        target: subject.target,
        requestsPerSecond: latencyRate,
        durationMs: latencyDurationMs,
      });
      subject.latencyMs = (await load.run()).latencyMs;
      await subject.target.close();
    }
  }

  #runRound(target: HttpLoadTarget, durationMs: number) {
    return runClosedLoop(target, {
      clock: this.#clock,
      callerCount,
      durationMs,
    });
  }
}

async function startBareForwarder(fleet: DemoFleet): Promise<string> {
  const port = await findFreePort();
  const address = `127.0.0.1:${port}`;
  fleet.group.start("bare-forwarder", {
    program: "bench/bare_forwarder.ts",
    environment: {
      BARE_PORT: String(port),
      BARE_BACKENDS: fleet.servers.map((s) => s.address).join(","),
      BARE_CONNECTIONS: String(slotCount),
    },
  });
  await waitForStatus(`http://${address}/health`);
  return address;
}

function createSubject(name: string, address: string): Subject {
  return {
    name,
    target: new HttpLoadTarget({
      addresses: [address],
      service,
      customer,
      method: "GET",
      keyCount: 1_000,
      zipfExponent: 0,
      connectionsPerAddress: callerCount,
      random: new SeededRandomSource(1),
    }),
    answeredCount: 0,
    unansweredCount: 0,
    durationMs: 0,
    latencyMs: undefined,
  };
}

function requestsPerSecond({ answeredCount, durationMs }: Subject): number {
  return answeredCount / durationMs * 1_000;
}

function createRows(subjects: readonly Subject[]): string[][] {
  return [
    ["", "requests/s", "refused or failed", "p50 ms", "p99 ms"],
    ...subjects.map((subject) => [
      subject.name,
      requestsPerSecond(subject).toFixed(0),
      String(subject.unansweredCount),
      subject.latencyMs!.p50.toFixed(2),
      subject.latencyMs!.p99.toFixed(2),
    ]),
  ];
}

function createFigures(bare: Subject, daemon: Subject): readonly Figure[] {
  const throughput = requestsPerSecond(daemon);
  return [
    {
      name: "throughput over the bare forwarder's",
      value: throughput / requestsPerSecond(bare),
      unit: "",
      bound: { kind: BoundKind.AtLeast, value: targetRatio },
    },
    {
      name: "throughput of one daemon",
      value: throughput,
      unit: "requests/s",
      bound: { kind: BoundKind.AtLeast, value: targetRequestsPerSecond },
    },
    {
      name: `added latency at ${latencyRate} requests/s, p50`,
      value: daemon.latencyMs!.p50 - bare.latencyMs!.p50,
      unit: "ms",
      bound: undefined,
    },
    {
      name: `added latency at ${latencyRate} requests/s, p99`,
      value: daemon.latencyMs!.p99 - bare.latencyMs!.p99,
      unit: "ms",
      bound: undefined,
    },
  ];
}
