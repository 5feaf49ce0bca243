/**
 * Suspends and kills real processes while callers send confirmations, and
 * compares the outcomes with the backend servers' own logs. The log of the
 * server to kill is read right before the kill. By then the server takes longer
 * for an execution than the callers wait, so that no execution missing from the
 * log is answered.
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

const waitTimeoutMs = 60_000;
const pollIntervalMs = 20;
const suspensionDurationMs = 4_000;

async function readLog(server: ServerProcess): Promise<ExecutionRecord[]> {
  const answer = await request(`http://${server.address}/-/log`);
  return await answer.body.json() as ExecutionRecord[];
}

async function waitUntil(isMet: () => boolean | Promise<boolean>) {
  const endsAtMs = Date.now() + waitTimeoutMs;
  while (!await isMet()) {
    if (Date.now() > endsAtMs) {
      throw new Error(`condition not met within ${waitTimeoutMs} ms`);
    }
    await delay(pollIntervalMs);
  }
}

/** Kills a server during an execution; returns the executions it had begun. */
async function killDuringExecution(
  fleet: DemoFleet,
  server: ServerProcess,
): Promise<FakeExecution[]> {
  const behaviour = { serviceTimeMs: waitTimeoutMs };
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

function assertGuarantees(
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
    const matching = executions.filter((e) =>
      e.idempotencyKey === idempotencyKey
    );
    assert.is(matching.length, 1, `executions of ${idempotencyKey}`);
    const answer = JSON.parse(body!) as { key: string; body: string };
    assert.is(answer.key, key);
    assert.is(answer.body, idempotencyKey);
  }
}

/** Waits until a request for every key has been sent and answered from now on. */
async function waitForEveryKey(callers: ProcessCallers): Promise<void> {
  const calledAtMs = Date.now();
  await waitUntil(() =>
    callers.countAnsweredKeys(calledAtMs) === callers.keyCount
  );
}

/** Injects the faults; returns the executions in the backend servers' logs. */
async function injectFaults(
  fleet: DemoFleet,
  callers: ProcessCallers,
): Promise<readonly FakeExecution[]> {
  callers.start();
  await waitForEveryKey(callers);
  const suspended = fleet.daemons[1]!.started.child;
  suspended.kill("SIGSTOP");
  await delay(suspensionDurationMs);
  suspended.kill("SIGCONT");
  await waitForEveryKey(callers);
  const [killed, ...others] = fleet.servers;
  const killedExecutions = await killDuringExecution(fleet, killed!);
  await waitForEveryKey(callers);
  await callers.stop();
  const logs = await Promise.all(others.map(readLog));
  const executions = logs.flat()
    .map((record) => toExecution(record, Date.now()));
  return [...killedExecutions, ...executions];
}

describe("a fleet of processes under confirmations", () => {
  describe("with a daemon suspended and resumed, then a backend server killed", () => {
    it("executes each confirmation once and upholds every guarantee", async () => {
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
        assertGuarantees(callers, await injectFaults(fleet, callers));
      } finally {
        await fleet.stop();
        await callers?.stop();
      }
    });
  });
});
