/**
 * The report of a replay: request outcomes, violated invariants, and the three
 * measures imbalance, churn and unavailable time.
 */
import { findOutcomeViolations } from "../proof/outcome_checker.ts";
import type { FakeExecution } from "../testing/fake_backend.ts";
import { findViolations } from "../testing/invariant_checker.ts";
import { AttemptOutcome } from "../types/enums.ts";
import type {
  OwnershipMonitor,
  OwnershipStatistics,
} from "./ownership_monitor.ts";
import type { ReplayedRequest, TraceReplayer } from "./trace_replayer.ts";
import type { TraceHeader, TraceService } from "./trace_schema.ts";

/** The results of one service. */
export interface ServiceReport extends OwnershipStatistics {
  readonly service: string;
  readonly requestCount: number;
  readonly answeredCount: number;
  readonly firstAttemptAnsweredCount: number;
  /** Longest time from the start of the first attempt to the answer. */
  readonly longestAnswerMs: number;
  /** Request count of the busiest server, divided by the lowest that any assignment allows. */
  readonly imbalance: number;
}

/** The results of a whole replay. */
export interface ReplayReport {
  readonly services: readonly ServiceReport[];
  /** The violated invariants, one line each. */
  readonly violations: readonly string[];
  readonly longestListEditMs: number;
}

/** Creates the report from the records of the callers, the backend servers and the monitor. */
export function createReplayReport(
  header: TraceHeader,
  { replayer, monitor, executions }: {
    readonly replayer: TraceReplayer;
    readonly monitor: OwnershipMonitor;
    readonly executions: readonly FakeExecution[];
  },
): ReplayReport {
  const attempts = replayer.requests.flatMap((r) => r.attempts);
  return {
    services: header.services.map((service) => ({
      service: service.name,
      ...countOutcomes(
        replayer.requests.filter((r) => r.request.service === service.name),
      ),
      imbalance: computeImbalance(service, executions),
      ...monitor.statistics(service.name),
    })),
    violations: [
      ...findViolations(executions).map(({ kind, subject, earlier, later }) =>
        `${kind} ${subject}: ${earlier.serverId} at ${earlier.startedAtMs} ms, ` +
        `${later.serverId} at ${later.startedAtMs} ms`
      ),
      ...findOutcomeViolations(attempts, executions),
    ],
    longestListEditMs: Math.max(0, ...replayer.listEditDurationsMs),
  };
}

function countOutcomes(requests: readonly ReplayedRequest[]) {
  let answeredCount = 0;
  let firstAttemptAnsweredCount = 0;
  let longestAnswerMs = 0;
  for (const { attempts } of requests) {
    const last = attempts.at(-1);
    if (last?.outcome !== AttemptOutcome.Answered) continue;
    answeredCount += 1;
    if (attempts.length === 1) firstAttemptAnsweredCount += 1;
    longestAnswerMs = Math.max(
      longestAnswerMs,
      last.finishedAtMs - attempts[0]!.startedAtMs,
    );
  }
  return {
    requestCount: requests.length,
    answeredCount,
    firstAttemptAnsweredCount,
    longestAnswerMs,
  };
}

function computeImbalance(
  service: TraceService,
  executions: readonly FakeExecution[],
): number {
  const executionCountByServer = new Map<string, number>();
  const executionCountByKey = new Map<string, number>();
  for (const { serverId, key, service: name } of executions) {
    if (name !== service.name) continue;
    executionCountByServer.set(
      serverId,
      (executionCountByServer.get(serverId) ?? 0) + 1,
    );
    executionCountByKey.set(key, (executionCountByKey.get(key) ?? 0) + 1);
  }
  const counts = [...executionCountByServer.values()];
  const total = counts.reduce((sum, count) => sum + count, 0);
  const lowestBusiestCount = Math.max(
    total / service.serverCount,
    ...executionCountByKey.values(),
  );
  return Math.max(...counts) / lowestBusiestCount;
}
