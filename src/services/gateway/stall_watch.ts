/**
 * The task that ends connections of callers that have stalled. It runs beside
 * the requests, so that none of them pays for it.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { CounterName } from "../metrics/metrics.ts";
import type { CallerConnection } from "./caller_connection.ts";
import type { HeldBodies } from "./held_bodies.ts";

const lookIntervalMs = 250;

/** Looks at the connections until the signal aborts. */
export async function watchStalls(
  services: ServiceLookup,
  { connections, held, signal }: {
    readonly connections: ReadonlySet<CallerConnection>;
    readonly held: HeldBodies;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const clock = services.get(ServiceName.Clock);
  while (!signal.aborted) {
    await clock.sleep(lookIntervalMs, signal);
    const nowMs = clock.nowMs();
    for (const connection of connections) {
      connection.noteProgress(nowMs);
      const { progress, waitingBytes } = connection;
      if (!progress.hasStalled(held.state)) continue;
      services.get(ServiceName.Metrics).count(CounterName.CallersStalled);
      services.get(ServiceName.Log).write(LogEvent.CallerStalled, {
        waitingBytes,
        stalledMs: Math.round(progress.stalledMs),
        requestCount: connection.pendingCount,
        memory: held.state,
        unreadAnswerBytes: held.unreadAnswerBytes,
      });
      connection.reset();
    }
  }
}
