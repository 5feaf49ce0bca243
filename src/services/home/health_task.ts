/**
 * The task that monitors the health of one backend server. Checks the server,
 * more often while it is suspect or lost, and reports its state and load to the
 * ownership service.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import { DeadlineSignal } from "../../host/deadline_signal.ts";
import { BackendServerState } from "../../types/enums.ts";
import { CounterName } from "../metrics/metrics.ts";
import { closeServer } from "./close_server.ts";
import type { ServerTaskScope } from "./server_task_scope.ts";

const checkIntervalMs = 50;
const healthCheckIntervalMs = 1_000;
const lostHealthCheckIntervalMs = 500;
const suspectHealthCheckIntervalMs = 100;
const healthCheckTimeoutMs = 250;
const reportIntervalMs = 500;
const reportedHotKeyCount = 10;

/** The last health check and the last report of the server, by the local clock. */
interface HealthProgress {
  healthCheckAtMs: number;
  reportedAtMs: number;
  reportedState: BackendServerState;
}

/** Monitors one server until `signal` aborts. */
export async function runHealthTask(
  scope: ServerTaskScope,
  signal: AbortSignal,
): Promise<void> {
  const { server, context } = scope;
  const { clock } = context;
  const progress: HealthProgress = {
    healthCheckAtMs: Number.NEGATIVE_INFINITY,
    reportedAtMs: clock.nowMs(),
    reportedState: server.server.state,
  };
  while (!signal.aborted) {
    const seenCount = server.healthWakeup.notifyCount;
    if (isHealthCheckDue(scope, progress)) {
      progress.healthCheckAtMs = clock.nowMs();
      await checkHealth(scope);
    }
    handleStateChange(scope, progress);
    if (clock.nowMs() - progress.reportedAtMs >= reportIntervalMs) {
      report(scope, progress);
    }
    await server.healthWakeup.waitAtMost(clock, {
      durationMs: checkIntervalMs,
      seenCount,
      signal,
    });
  }
}

function isHealthCheckDue(
  { server, context }: ServerTaskScope,
  progress: HealthProgress,
): boolean {
  const nowMs = context.clock.nowMs();
  const sinceMs = nowMs - progress.healthCheckAtMs;
  if (server.health.isSuspect(nowMs)) {
    return sinceMs >= suspectHealthCheckIntervalMs;
  }
  return server.health.state === BackendServerState.Lost
    ? sinceMs >= lostHealthCheckIntervalMs
    : sinceMs >= healthCheckIntervalMs;
}

async function checkHealth(
  { server, context }: ServerTaskScope,
): Promise<void> {
  const { clock, metrics, transport } = context;
  const timeout = new DeadlineSignal(clock, {
    atMs: clock.nowMs() + healthCheckTimeoutMs,
  });
  metrics.count(CounterName.HealthChecksSent);
  const result = await transport.checkHealth(server.server, timeout.signal);
  timeout.dispose();
  const nowMs = clock.nowMs();
  if (result.isOk()) server.health.noteReport(result.value, nowMs);
  else server.health.noteHealthCheckFailure(nowMs);
}

/** Logs and reports a change of state without waiting for the next report. */
function handleStateChange(
  scope: ServerTaskScope,
  progress: HealthProgress,
): void {
  const { server, context } = scope;
  const { state } = server.health;
  if (state !== progress.reportedState) {
    context.log.write(LogEvent.BackendServerChangedState, {
      serverId: server.server.serverId,
      from: progress.reportedState,
      to: state,
    });
    if (progress.reportedState === BackendServerState.Lost) {
      server.limit.reset();
      server.grants.invalidateAll();
      server.grantWakeup.notify();
    }
    report(scope, progress);
  }
  const reason = server.tryGetClosedReason(context.clock.nowMs());
  if (reason !== undefined) closeServer(scope, reason);
}

function report(
  { server, context }: ServerTaskScope,
  progress: HealthProgress,
): void {
  const nowMs = context.clock.nowMs();
  const elapsedMs = nowMs - progress.reportedAtMs;
  progress.reportedAtMs = nowMs;
  progress.reportedState = server.health.state;
  context.ownership.reportObservation({
    service: server.definition.name,
    serverId: server.server.serverId,
    state: server.health.state,
    completedCount: server.takeCompletedCount(),
    queuedCount: server.queuedCount,
    hotKeys: server.hotKeys.takeTop(reportedHotKeyCount, elapsedMs),
    shardCounts: server.shardCounts.takeCounts(),
  });
}
