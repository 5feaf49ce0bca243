/**
 * The task that monitors the health of one backend server. Probes the server,
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
const probeIntervalMs = 1_000;
const lostProbeIntervalMs = 500;
const suspectProbeIntervalMs = 100;
const probeTimeoutMs = 250;
const reportIntervalMs = 500;
const reportedHotKeyCount = 10;

/** The last probe and the last report of the server, by the local clock. */
interface HealthProgress {
  probedAtMs: number;
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
    probedAtMs: Number.NEGATIVE_INFINITY,
    reportedAtMs: clock.nowMs(),
    reportedState: server.server.state,
  };
  while (!signal.aborted) {
    const seenCount = server.healthWakeup.notifyCount;
    if (isProbeDue(scope, progress)) {
      progress.probedAtMs = clock.nowMs();
      await probe(scope);
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

function isProbeDue(
  { server, context }: ServerTaskScope,
  progress: HealthProgress,
): boolean {
  const nowMs = context.clock.nowMs();
  const sinceMs = nowMs - progress.probedAtMs;
  if (server.health.isSuspect(nowMs)) return sinceMs >= suspectProbeIntervalMs;
  return server.health.state === BackendServerState.Lost
    ? sinceMs >= lostProbeIntervalMs
    : sinceMs >= probeIntervalMs;
}

async function probe({ server, context }: ServerTaskScope): Promise<void> {
  const { clock, metrics, transport } = context;
  const timeout = new DeadlineSignal(clock, {
    atMs: clock.nowMs() + probeTimeoutMs,
  });
  metrics.count(CounterName.ProbesSent);
  const result = await transport.probe(server.server, timeout.signal);
  timeout.dispose();
  const nowMs = clock.nowMs();
  if (result.isOk()) server.health.noteReport(result.value, nowMs);
  else server.health.noteProbeFailure(nowMs);
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
