/**
 * Measures the cost of the log: processor time and bytes for each request to the
 * daemon of `fleet_main.ts`. Compares a daemon that logs with a daemon that does
 * not, in alternating rounds at the same rate and with the same stand-ins.
 */
import { mkdtempSync, rmSync, statSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { settingsVariable } from "../platform/create_platform.ts";
import { findFreePort } from "../scripts/free_port.ts";
import {
  ProcessGroup,
  ProgramForm,
  type StartedProcess,
} from "../scripts/process_group.ts";
import { formatTable } from "../src/plots/text_table.ts";
import { SoakServers, watchedKeys } from "../src/proof/soak/soak_servers.ts";
import {
  type CallerRequest,
  CallerStandin,
  isDaemonReady,
  isSuccess,
} from "../standins/fleet/caller_standin.ts";
import { encodeDaemonSettings } from "../standins/fleet/daemon_settings.ts";
import { SmallService } from "../standins/fleet/small_configuration.ts";
import { Bench, type Figure } from "./bench.ts";
import { readProcessUsage } from "../scripts/process_usage.ts";

const serverCount = 8;
const callerCount = 32;
/** Pause of a caller between two requests; all callers together send about 400 requests a second. */
const callerPauseMs = 65;
const callerTimeoutMs = 3_000;
const warmUpDurationMs = 4_000;
const roundCount = 4;
const roundDurationMs = 5_000;
const readyPollMs = 100;
const confirmationBody = "x".repeat(600);

/** A daemon process that is measured. */
interface Subject {
  readonly name: string;
  readonly started: StartedProcess;
  readonly callers: readonly CallerStandin[];
  readonly logPath: string;
  requestCount: number;
  failureCount: number;
  processorMs: number;
  logBytes: number;
}

/** Compares a daemon with a daemon that writes no log. */
export class LogCostBench extends Bench {
  override readonly name = "log-cost";
  override readonly summary =
    "processor time and bytes of the log for each request, with real processes";
  override readonly isRepeatable = false;

  override async run(
    print: (line: string) => void,
  ): Promise<readonly Figure[]> {
    const folder = mkdtempSync(join(tmpdir(), "skylarkridge-"));
    const group = new ProcessGroup(ProgramForm.Compiled);
    const servers = new SoakServers();
    try {
      const storePort = await servers.start();
      servers.store.writeConfiguration(1);
      for (const service of Object.values(SmallService)) {
        for (let i = 0; i < serverCount; i++) await servers.addServer(service);
      }
      const subjects: Subject[] = [];
      for (
        const [name, program] of [
          ["with-log", "src/daemon/fleet_main.ts"],
          ["without-log", "bench/silent_daemon.ts"],
        ] as const
      ) {
        subjects.push(
          await startSubject(group, { name, program, folder, storePort }),
        );
      }
      for (const subject of subjects) await runRound(subject, warmUpDurationMs);
      for (const subject of subjects) resetFigures(subject);
      for (let round = 0; round < roundCount; round++) {
        for (const subject of subjects) {
          await runRound(subject, roundDurationMs);
        }
      }
      formatTable(createRows(subjects)).forEach(print);
      return createFigures(subjects);
    } finally {
      await group.endAll();
      servers.stop();
      rmSync(folder, { recursive: true });
    }
  }
}

async function startSubject(
  group: ProcessGroup,
  { name, program, folder, storePort }: {
    readonly name: string;
    readonly program: string;
    readonly folder: string;
    readonly storePort: number;
  },
): Promise<Subject> {
  const callersPort = await findFreePort();
  const readinessPort = await findFreePort();
  const peerPort = await findFreePort();
  const settingsPath = join(folder, `${name}.json`);
  const logPath = join(folder, `${name}.log`);
  const ports = { callersPort, readinessPort, storePort, peerPort };
  writeFileSync(settingsPath, encodeDaemonSettings(name, ports));
  const started = group.start(name, {
    program,
    environment: { [settingsVariable]: settingsPath },
    logPath,
  });
  while (!await isDaemonReady(readinessPort, { timeoutMs: callerTimeoutMs })) {
    await delay(readyPollMs);
  }
  const callers = Array.from(
    { length: callerCount },
    (_, callerIndex) =>
      new CallerStandin({
        daemonIndex: callerIndex,
        port: callersPort,
        timeoutMs: callerTimeoutMs,
        pipelining: 1,
      }),
  );
  const zeroFigures = {
    requestCount: 0,
    failureCount: 0,
    processorMs: 0,
    logBytes: 0,
  };
  return { name, started, callers, logPath, ...zeroFigures };
}

function resetFigures(subject: Subject): void {
  subject.requestCount = 0;
  subject.failureCount = 0;
  subject.processorMs = 0;
  subject.logBytes = 0;
}

/** Sends requests, and adds the processor time and the log bytes of the round to the figures of the process. */
async function runRound(subject: Subject, durationMs: number): Promise<void> {
  const processId = subject.started.child.pid!;
  const before = readProcessUsage(processId);
  const bytesBefore = readLogBytes(subject);
  const endsAtMs = performance.now() + durationMs;
  await Promise.all(subject.callers.map(async (caller, index) => {
    for (let turn = index; performance.now() < endsAtMs; turn++) {
      const record = await caller.send(createRequest(turn));
      subject.requestCount += 1;
      if (!isSuccess(record)) subject.failureCount += 1;
      await delay(callerPauseMs);
    }
  }));
  const after = readProcessUsage(processId);
  subject.processorMs += after.processorMs - before.processorMs;
  subject.logBytes += readLogBytes(subject) - bytesBefore;
}

function readLogBytes({ logPath }: Subject): number {
  return statSync(logPath).size;
}

function createRequest(turn: number): CallerRequest {
  return turn % 3 === 0
    ? { method: "POST", path: "/pay/confirm", body: confirmationBody }
    : {
      method: "GET",
      path: "/roster/list",
      key: watchedKeys[turn % watchedKeys.length]!,
    };
}

function perRequest(subject: Subject, total: number): number {
  return total / subject.requestCount;
}

function createRows(subjects: readonly Subject[]): string[][] {
  return [
    ["", "requests", "failed", "ms/request", "log bytes/request"],
    ...subjects.map((subject) => [
      subject.name,
      String(subject.requestCount),
      String(subject.failureCount),
      perRequest(subject, subject.processorMs).toFixed(3),
      perRequest(subject, subject.logBytes).toFixed(0),
    ]),
  ];
}

function createFigures([withLog, withoutLog]: readonly Subject[]): Figure[] {
  const withLogMs = perRequest(withLog!, withLog!.processorMs);
  const withoutLogMs = perRequest(withoutLog!, withoutLog!.processorMs);
  return [
    {
      name: "processor time of the log",
      value: withLogMs - withoutLogMs,
      unit: "ms/request",
      bound: undefined,
    },
    {
      name: "its part of the daemon's",
      value: (withLogMs - withoutLogMs) / withLogMs,
      unit: "",
      bound: undefined,
    },
    {
      name: "log",
      value: perRequest(withLog!, withLog!.logBytes),
      unit: "bytes/request",
      bound: undefined,
    },
  ];
}
