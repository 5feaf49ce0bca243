/**
 * Generates closed-loop load: a fixed number of callers, each of which sends its
 * next request as soon as the last has ended. Shows the highest throughput of a
 * target.
 */
import type { Clock } from "../src/host/clock.ts";
import { LoadOutcome, type LoadTarget } from "../scripts/open_loop_load.ts";

/** The result of a closed-loop run. */
export interface ClosedLoopReport {
  readonly answeredCount: number;
  /** Requests that were refused or failed. */
  readonly unansweredCount: number;
  readonly durationMs: number;
}

/** Runs callers for a fixed time. */
export async function runClosedLoop(
  target: LoadTarget,
  options: {
    readonly clock: Clock;
    readonly callerCount: number;
    readonly durationMs: number;
  },
): Promise<ClosedLoopReport> {
  const { clock, callerCount, durationMs } = options;
  const startedAtMs = clock.nowMs();
  let answeredCount = 0;
  let unansweredCount = 0;
  async function call(): Promise<void> {
    while (clock.nowMs() - startedAtMs < durationMs) {
      const outcome = await target.send();
      if (outcome === LoadOutcome.Answered) answeredCount += 1;
      else unansweredCount += 1;
    }
  }
  await Promise.all(Array.from({ length: callerCount }, call));
  return {
    answeredCount,
    unansweredCount,
    durationMs: clock.nowMs() - startedAtMs,
  };
}
