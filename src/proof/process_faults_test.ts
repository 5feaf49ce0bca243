/**
 * Freezes and kills real processes under confirmations, and compares the
 * backend servers' own logs with what callers were told. A killed server's log
 * is read right before; its runs are long by then, so none is answered later.
 */
import { setTimeout as delay } from "node:timers/promises";
import * as assert from "uvu/assert";
import { request } from "undici";
import { DemoFleet, type ServerProcess } from "../../scripts/demo_fleet.ts";
import type { ExecutionRecord } from "../../standins/backend/execution_log.ts";
import { describe, it } from "../testing/describe.ts";
import type { FakeExecution } from "../testing/fake_backend.ts";
import { findViolations } from "../testing/invariant_checker.ts";
import { AttemptOutcome } from "../types/enums.ts";
import { findOutcomeViolations } from "./outcome_checker.ts";
import {
  confirmationService,
  ProcessCallers,
  toExecution,
} from "./process_callers.ts";

const giveUpMs = 60_000;
const pollIntervalMs = 20;
const freezeDurationMs = 4_000;

async function readLog(server: ServerProcess): Promise<ExecutionRecord[]> {
  const answer = await request(`http://${server.address}/-/log`);
  return await answer.body.json() as ExecutionRecord[];
}

async function waitUntil(isMet: () => boolean | Promise<boolean>) {
  const endsAtMs = Date.now() + giveUpMs;
  while (!await isMet()) {
    if (Date.now() > endsAtMs) throw new Error("the condition was never met");
    await delay(pollIntervalMs);
  }
}

/** Kills a server in the middle of its work; returns what it had begun. */
async function killAtWork(
  fleet: DemoFleet,
  server: ServerProcess,
): Promise<FakeExecution[]> {
  const behaviour = { serviceTimeMs: giveUpMs };
  const answer = await request(`http://${server.address}/-/behaviour`, {
    method: "POST",
    body: JSON.stringify(behaviour),
  });
  await answer.body.dump();
  let log: ExecutionRecord[] = [];
  await waitUntil(async () => {
    log = await readLog(server);
    return log.some(({ finishedWallMs }) => finishedWallMs === 0);
  });
  await fleet.group.end(server.started, "SIGKILL");
  const killedAtMs = Date.now();
  return log.map((record) => toExecution(record, killedAtMs));
}

function assertPromises(
  callers: ProcessCallers,
  executions: readonly FakeExecution[],
): void {
  assert.equal(findViolations(executions), []);
  const isAnswered = ({ outcome }: { readonly outcome: AttemptOutcome }) =>
    outcome === AttemptOutcome.Answered;
  const refused = callers.attempts.filter((a) => !isAnswered(a));
  assert.equal(findOutcomeViolations(refused, executions), []);
  for (const attempt of callers.attempts.filter(isAnswered)) {
    const { key, idempotencyKey, body } = attempt;
    const runs = executions.filter((e) => e.idempotencyKey === idempotencyKey);
    assert.is(runs.length, 1, `runs of ${idempotencyKey}`);
    const answer = JSON.parse(body!) as { key: string; body: string };
    assert.is(answer.key, key);
    assert.is(answer.body, idempotencyKey);
  }
}

/** Waits until every key was answered anew. */
async function waitForEveryKey(callers: ProcessCallers): Promise<void> {
  const sinceMs = Date.now();
  await waitUntil(() =>
    callers.countAnsweredKeys(sinceMs) === callers.keyCount
  );
}

/** Brings the faults about; returns what the backend servers' logs say. */
async function runFaults(
  fleet: DemoFleet,
  callers: ProcessCallers,
): Promise<readonly FakeExecution[]> {
  callers.start();
  await waitForEveryKey(callers);
  const frozen = fleet.daemons[1]!.started.child;
  frozen.kill("SIGSTOP");
  await delay(freezeDurationMs);
  frozen.kill("SIGCONT");
  await waitForEveryKey(callers);
  const [lost, ...others] = fleet.servers;
  const lostExecutions = await killAtWork(fleet, lost!);
  await waitForEveryKey(callers);
  await callers.stop();
  const logs = await Promise.all(others.map(readLog));
  const executions = logs.flat()
    .map((record) => toExecution(record, Date.now()));
  return [...lostExecutions, ...executions];
}

describe("real processes under confirmations", () => {
  describe("a daemon frozen and thawed, then a backend server killed", () => {
    it("run each confirmation once and keep every promise", async () => {
      const fleet = new DemoFleet({
        daemonCount: 3,
        serverCountByService: { [confirmationService]: 4 },
      });
      let callers: ProcessCallers | undefined;
      try {
        await fleet.start();
        callers = new ProcessCallers(
          fleet.daemons.map(({ entryAddress }) => entryAddress),
        );
        assertPromises(callers, await runFaults(fleet, callers));
      } finally {
        await fleet.stop();
        await callers?.stop();
      }
    });
  });
});
