/**
 * Runs whole daemons on virtual time under a fault schedule and callers' load,
 * and judges the run by the backend servers' own logs.
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

/** The size and length of one run. */
export interface FleetRunOptions {
  readonly seed: number;
  readonly fencingMode: FencingMode;
  readonly daemonCount: number;
  readonly serverCount: number;
  readonly loadDurationMs: number;
  readonly loadIntervalMs: number;
}

/** What one run showed. */
export interface FleetRunReport {
  /** One line for each broken promise; none when all held. */
  readonly violations: readonly string[];
  readonly attemptCount: number;
  readonly answeredCount: number;
  readonly executionCount: number;
  /** Longest time without service of any key. */
  readonly longestGapMs: number;
  /** Attempts answered after every fault ended, and all such attempts. */
  readonly recoveredCount: number;
  /** Errors of attempts after every fault ended. */
  readonly recoveryErrors: readonly string[];
  readonly probeCount: number;
}

const keyCount = 12;
const recoveryMs = 15_000;
const recoveryProbeCount = 24;
const settleLimitMs = 120_000;

/** Runs one schedule and reports. */
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
  const faulting = injectFaults(fleet, faults);
  const loading = runCallerLoad(fleet, {
    seed: options.seed,
    durationMs: options.loadDurationMs,
    intervalMs: options.loadIntervalMs,
    keyCount,
    repeatCount: 3,
    deadlineMs: 3_000,
  });
  const attempts = await settleWithin(
    fleet.clock,
    Promise.all([loading, faulting]).then(([result]) => result),
    settleLimitMs,
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

/** Sends requests after the last fault; every one should be answered. */
async function probeRecovery(
  fleet: TestFleet,
  seed: number,
): Promise<CallerAttempt[]> {
  await fleet.clock.advance(recoveryMs);
  const probing = runCallerLoad(fleet, {
    seed: seed + 1,
    durationMs: recoveryProbeCount * probeIntervalMs,
    intervalMs: probeIntervalMs,
    keyCount,
    repeatCount: 0,
    deadlineMs: 3_000,
  });
  return await settleWithin(fleet.clock, probing, settleLimitMs);
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
  const breaches = findViolations(executions).filter(isOwnershipBreach);
  return {
    violations: [
      ...breaches.map(formatViolation),
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
 * Work that a server began as the owner and finishes after a freeze overlaps
 * the next owner's work; the order of fences shows whether it began in time.
 */
function isOwnershipBreach({ kind, earlier, later }: Violation): boolean {
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
