/** The figures of the servers that this daemon has met, and their probes. */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { incarnationOf, type ServerEntry } from "../../types/routing.ts";
import { CounterName } from "../metrics/metrics.ts";
import type { Choice } from "./choose_server.ts";
import { ServerFigures } from "./server_figures.ts";

/** Pauses between probes of a server that is avoided. */
const probePauseMs = { first: 300, most: 2_000 };
/** Longest wait for a probe's answer; probes wait for a slot like requests. */
const probeTimeoutMs = 1_000;

/** Keeps figures by incarnation. */
export class KnownServers {
  readonly #services: ServiceLookup;
  readonly #signal: AbortSignal;
  readonly #onUsable: () => void;
  readonly #figures = new Map<string, ServerFigures>();

  /** `onUsable` is called when servers may have become usable. */
  constructor(
    services: ServiceLookup,
    options: { readonly signal: AbortSignal; readonly onUsable: () => void },
  ) {
    this.#services = services;
    this.#signal = options.signal;
    this.#onUsable = options.onUsable;
    void this.#forgetServers();
  }

  /** The figures of a server; those of a new one when it was not met before. */
  figuresOf(server: ServerEntry): ServerFigures {
    const name = incarnationOf(server);
    let figures = this.#figures.get(name);
    if (figures === undefined) {
      figures = new ServerFigures();
      this.#figures.set(name, figures);
    }
    return figures;
  }

  /** Probes a server that is avoided, until it answers or is gone. */
  async probe({ server, figures }: Choice): Promise<void> {
    const services = this.#services;
    const signal = this.#signal;
    const clock = services.get(ServiceName.Clock);
    let pauseMs = probePauseMs.first;
    while (!signal.aborted) {
      await clock.sleep(pauseMs, signal);
      pauseMs = Math.min(probePauseMs.most, pauseMs * 2);
      const present = services.get(ServiceName.Directory).tryGet(server.id);
      if (present?.bornAtMs !== server.bornAtMs || signal.aborted) return;
      const path = services.get(ServiceName.Routing).currentTable()
        ?.services.get(server.service)?.healthPath;
      if (path === undefined) return;
      services.get(ServiceName.Metrics).count(CounterName.ProbesSent);
      const probe = await services.get(ServiceName.ServerLink)
        .probe(server, { path, timeoutMs: probeTimeoutMs });
      if (!probe.isHealthy) continue;
      figures.readmit();
      services.get(ServiceName.Log).write(LogEvent.ServerReadmitted, {
        server: server.id,
        peer: server.address,
      });
      this.#onUsable();
      return;
    }
  }

  /** Drops the figures of servers that are gone. */
  async #forgetServers(): Promise<void> {
    const signal = this.#signal;
    const directory = this.#services.get(ServiceName.Directory);
    while (!signal.aborted) {
      await directory.changed.wait(signal);
      for (const [name, figures] of this.#figures) {
        const id = name.slice(0, name.lastIndexOf("@"));
        const present = directory.tryGet(id);
        const isGone = present === undefined || incarnationOf(present) !== name;
        if (isGone && figures.inFlightCount === 0) this.#figures.delete(name);
      }
      this.#onUsable();
    }
  }
}
