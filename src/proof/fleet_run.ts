/**
 * Runs complete daemons on virtual time under a fault schedule and a load of
 * requests, and checks the guarantees against the backend servers' own logs.
 */
import type { FencingMode } from "../types/enums.ts";
import {
  computeLongestGapMs,
  findViolations,
  InvariantKind,
  type Violation,
} from "../testing/invariant_checker.ts";
import { settleWithin, TestFleet } from "../testing/test_fleet.ts";
import { AttemptOutcome } from "../types/enums.ts";
import { type CallerAttempt, runCallerLoad } from "./caller_load.ts";
import { injectFaults } from "./fault_injector.ts";
import type { Fault } from "./fault_schedule.ts";
import { findOutcomeViolations } from "./outcome_checker.ts";

/** The size of the fleet and the load of one run. */
export interface FleetRunOptions {
  readonly seed: number;
  readonly fencingMode: FencingMode;
  readonly daemonCount: number;
  readonly serverCount: number;
  readonly loadDurationMs: number;
  readonly loadIntervalMs: number;
}

/** The result of one run. */
export interface FleetRunReport {
  /** One line for each violated guarantee. */
  readonly violations: readonly string[];
  readonly attemptCount: number;
  readonly answeredCount: number;
  readonly executionCount: number;
  /** Longest time without an execution for any one key. */
  readonly longestGapMs: number;
  /** Number of the `probeCount` requests that were answered. */
  readonly recoveredCount: number;
  /** Errors of requests sent after every fault had ended. */
  readonly recoveryErrors: readonly string[];
  /** Requests sent after every fault had ended. */
  readonly probeCount: number;
}

const keyCount = 12;
const recoveryDurationMs = 15_000;
const recoveryProbeCount = 24;
const settleTimeoutMs = 120_000;

/** Runs one schedule. */
export async function runFleet(
  faults: readonly Fault[],
  options: FleetRunOptions,
): Promise<FleetRunReport> {
  const fleet = new TestFleet({
    seed: options.seed,
    daemonCount: options.daemonCount,
    serverCount: options.serverCount,
    definition: { fencingMode: options.fencingMode },
  });
  await fleet.start();
  const startedAtMs = fleet.clock.nowMs();
  const injection = injectFaults(fleet, faults);
  const load = runCallerLoad(fleet, {
    seed: options.seed,
    durationMs: options.loadDurationMs,
    intervalMs: options.loadIntervalMs,
    keyCount,
    repeatCount: 3,
    deadlineMs: 3_000,
  });
  const attempts = await settleWithin(
    fleet.clock,
    Promise.all([load, injection]).then(([result]) => result),
    settleTimeoutMs,
  );
  const endedAtMs = fleet.clock.nowMs();
  const probes = await probeRecovery(fleet, options.seed);
  const report = createReport(fleet, {
    attempts,
    probes,
    fromMs: startedAtMs,
    toMs: endedAtMs,
  });
  await fleet.stop();
  return report;
}

/** Sends requests after the last fault; each of them should be answered. */
async function probeRecovery(
  fleet: TestFleet,
  seed: number,
): Promise<CallerAttempt[]> {
  await fleet.clock.advance(recoveryDurationMs);
  const load = runCallerLoad(fleet, {
    seed: seed + 1,
    durationMs: recoveryProbeCount * probeIntervalMs,
    intervalMs: probeIntervalMs,
    keyCount,
    repeatCount: 0,
    deadlineMs: 3_000,
  });
  return await settleWithin(fleet.clock, load, settleTimeoutMs);
}

const probeIntervalMs = 20;

function createReport(
  fleet: TestFleet,
  run: {
    readonly attempts: readonly CallerAttempt[];
    readonly probes: readonly CallerAttempt[];
    readonly fromMs: number;
    readonly toMs: number;
  },
): FleetRunReport {
  const executions = fleet.backends.executions();
  const gaps = computeLongestGapMs(executions, run);
  const violations = findViolations(executions).filter(isGuaranteeViolation);
  return {
    violations: [
      ...violations.map(formatViolation),
      ...findOutcomeViolations(run.attempts, executions),
    ],
    attemptCount: run.attempts.length,
    answeredCount: countAnswered(run.attempts),
    executionCount: executions.length,
    longestGapMs: Math.max(0, ...gaps.values()),
    recoveredCount: countAnswered(run.probes),
    recoveryErrors: run.probes
      .filter(({ error }) => error !== undefined)
      .map(({ key, error }) => `${key}: ${error}`),
    probeCount: run.probes.length,
  };
}

/**
 * A server that freezes while it executes a request as the owner may finish the
 * execution after the next owner has begun one. Such an overlap is allowed if
 * the fences rise in the order of the starts.
 */
function isGuaranteeViolation({ kind, earlier, later }: Violation): boolean {
  if (kind !== InvariantKind.TwoOwners) return true;
  return earlier.fence >= later.fence;
}

function formatViolation({ kind, subject, earlier, later }: Violation): string {
  return `${kind} ${subject}: ${earlier.serverId} fence ${earlier.fence} at ` +
    `${earlier.startedAtMs} ms, ${later.serverId} fence ${later.fence} at ` +
    `${later.startedAtMs} ms`;
}

function countAnswered(attempts: readonly CallerAttempt[]): number {
  return attempts
    .filter((attempt) => attempt.outcome === AttemptOutcome.Answered)
    .length;
}
