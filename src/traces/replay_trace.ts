/** Replays a whole trace on a test fleet and creates the report. */
import { createHashFunction } from "../hashing/key_hash.ts";
import { OwnershipMonitor } from "./ownership_monitor.ts";
import { createReplayReport, type ReplayReport } from "./replay_report.ts";
import { startTraceFleet } from "./trace_fleet.ts";
import { TraceReplayer } from "./trace_replayer.ts";
import type { Trace } from "./trace_schema.ts";

const clockStepMs = 250;

/**
 * Replays the trace on virtual time. `onProgress` receives the elapsed virtual
 * time. Throws if an event of the trace cannot be carried out.
 */
export async function replayTrace(
  trace: Trace,
  onProgress: (elapsedMs: number) => void = () => {},
): Promise<ReplayReport> {
  const fleet = await startTraceFleet(trace.header);
  const hash = await createHashFunction();
  const monitor = new OwnershipMonitor(fleet, trace.header, hash);
  const replayer = new TraceReplayer(trace, fleet);
  const monitoring = monitor.run();
  const startedAtMs = fleet.clock.nowMs();
  let isEnded = false;
  const replayed = replayer.run().finally(() => isEnded = true);
  replayed.catch(() => {});
  while (!isEnded) {
    await fleet.clock.advance(clockStepMs);
    onProgress(fleet.clock.nowMs() - startedAtMs);
  }
  await replayed;
  monitor.stop();
  await monitoring;
  const executions = fleet.backends.executions();
  await fleet.stop();
  return createReplayReport(trace.header, { replayer, monitor, executions });
}
