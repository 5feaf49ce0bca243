/**
 * The statistics of the servers that this daemon has used, and the health
 * checks that readmit servers which are avoided.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { SendResult } from "../../host/server_link.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { incarnationOf, type ServerEntry } from "../../types/routing.ts";
import { CounterName } from "../metrics/metrics.ts";
import type { ServerCandidate } from "./choose_server.ts";
import { ServerStatistics } from "./server_statistics.ts";

/** Delay before the first health check of an avoided server, and the bound to which it doubles. */
const healthCheckDelayMs = { initial: 300, max: 2_000 };
/** Timeout of a health check, which waits for a free slot of the server like a request does. */
const healthCheckTimeoutMs = 1_000;

/** Keeps the statistics of each incarnation of a server. */
export class KnownServers {
  readonly #services: ServiceLookup;
  readonly #signal: AbortSignal;
  readonly #onUsable: () => void;
  readonly #statistics = new Map<string, ServerStatistics>();
  /** The incarnations whose health is being checked. */
  readonly #checked = new Set<string>();

  /** `onUsable` is called when a server may have become usable. */
  constructor(
    services: ServiceLookup,
    options: { readonly signal: AbortSignal; readonly onUsable: () => void },
  ) {
    this.#services = services;
    this.#signal = options.signal;
    this.#onUsable = options.onUsable;
    void this.#removeGoneServers();
  }

  /** Returns the statistics of a server; creates them on first use. */
  getStatistics(server: ServerEntry): ServerStatistics {
    const incarnation = incarnationOf(server);
    let statistics = this.#statistics.get(incarnation);
    if (statistics === undefined) {
      statistics = new ServerStatistics();
      this.#statistics.set(incarnation, statistics);
    }
    return statistics;
  }

  /** Records what a server said of itself in an answer. */
  noteServerState(
    { server, statistics }: ServerCandidate,
    { isLeaving, pauseMs }: Pick<SendResult, "isLeaving" | "pauseMs">,
  ): void {
    const services = this.#services;
    if (isLeaving === true) {
      services.get(ServiceName.Directory).noteLeaving(incarnationOf(server));
    }
    if (pauseMs === undefined) return;
    const nowMs = services.get(ServiceName.Clock).nowMs();
    if (!statistics.notePause(pauseMs, nowMs)) return;
    services.get(ServiceName.Log).write(LogEvent.ServerPaused, {
      server: server.id,
      service: server.service,
      pauseMs: Math.round(pauseMs),
    });
  }

  /** Checks the health of an avoided or unconfirmed server until it is healthy, is removed or restarts. */
  async checkHealthUntilUsable(candidate: ServerCandidate): Promise<void> {
    const incarnation = incarnationOf(candidate.server);
    if (this.#checked.has(incarnation)) return;
    this.#checked.add(incarnation);
    await this.#checkUntilUsable(candidate);
    this.#checked.delete(incarnation);
  }

  async #checkUntilUsable(
    { server, statistics }: ServerCandidate,
  ): Promise<void> {
    const services = this.#services;
    const signal = this.#signal;
    const clock = services.get(ServiceName.Clock);
    let delayMs = healthCheckDelayMs.initial;
    while (!signal.aborted) {
      const pauseMs = statistics.remainingPauseMs(clock.nowMs());
      await clock.sleep(Math.max(delayMs, pauseMs), signal);
      delayMs = Math.min(healthCheckDelayMs.max, delayMs * 2);
      const present = services.get(ServiceName.Directory).tryGet(server.id);
      if (present?.bornAtMs !== server.bornAtMs || signal.aborted) return;
      const path = services.get(ServiceName.Routing).currentTable()
        ?.services.get(server.service)?.healthPath;
      // A later configuration may have the service again.
      if (path === undefined) continue;
      services.get(ServiceName.Metrics).count(CounterName.HealthChecksSent);
      const result = await services.get(ServiceName.ServerLink)
        .checkHealth(server, { path, timeoutMs: healthCheckTimeoutMs });
      this.noteServerState({ server, statistics }, result);
      if (!result.isHealthy) continue;
      services.get(ServiceName.ColdServers)
        .noteCold(server, result.coldLeftMs ?? 0);
      statistics.readmit();
      services.get(ServiceName.Log).write(LogEvent.ServerReadmitted, {
        server: server.id,
        peer: server.address,
      });
      this.#onUsable();
      return;
    }
  }

  /** Removes the statistics of incarnations that are no longer in the directory. */
  async #removeGoneServers(): Promise<void> {
    const signal = this.#signal;
    const directory = this.#services.get(ServiceName.Directory);
    while (!signal.aborted) {
      await directory.changed.wait(signal);
      for (const [incarnation, statistics] of this.#statistics) {
        const id = incarnation.slice(0, incarnation.lastIndexOf("@"));
        const present = directory.tryGet(id);
        const isGone = present === undefined ||
          incarnationOf(present) !== incarnation;
        if (isGone && statistics.inFlightCount === 0) {
          this.#statistics.delete(incarnation);
        }
      }
      this.#onUsable();
    }
  }
}
