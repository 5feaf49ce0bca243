/**
 * Derives the state of the daemon from what requests need: an assignment and
 * lists in force. While the daemon is starting, a task probes the platform, so
 * that the readiness endpoint can report whether the platform is the cause.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { DaemonState } from "../../types/enums.ts";
import { Lifecycle } from "./lifecycle.ts";

const checkIntervalMs = 250;
const platformProbeIntervalMs = 1_000;
const platformProbeKey = "readiness-probe";

/** Tracks and logs the state of one daemon. */
export class DaemonLifecycle extends Lifecycle {
  readonly #stopping = new AbortController();
  readonly #draining = new AbortController();
  #services: ServiceLookup | undefined;
  #platformFailure: string | undefined;
  #nextProbeAtMs = 0;
  #watcher: Promise<void> = Promise.resolve();

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Log,
      ServiceName.Membership,
      ServiceName.Ownership,
      ServiceName.PlatformTable,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    this.#watcher = this.#watch(services);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#stopping.abort();
    return this.#watcher;
  }

  override state(): DaemonState {
    if (this.#draining.signal.aborted) return DaemonState.Draining;
    const isReady = this.blockers().length === 0;
    return isReady ? DaemonState.Ready : DaemonState.Starting;
  }

  override blockers(): readonly string[] {
    if (this.#draining.signal.aborted) return ["the daemon is draining"];
    const blockers = this.#listStartBlockers();
    if (blockers.length === 0 || this.#platformFailure === undefined) {
      return blockers;
    }
    return [...blockers, this.#platformFailure];
  }

  override unassignedServices(): readonly string[] {
    const ownership = this.#services?.get(ServiceName.Ownership);
    if (ownership === undefined) return [];
    return ownership.definitions()
      .map(({ name }) => name)
      .filter((name) => ownership.tryGetAssignment(name) === undefined);
  }

  override beginDraining(): void {
    if (this.#draining.signal.aborted) return;
    this.#draining.abort();
    this.#services?.get(ServiceName.Membership).beginDraining();
  }

  override waitForDraining(): Promise<void> {
    const { signal } = this.#draining;
    return new Promise((resolve) => {
      if (signal.aborted) return resolve();
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
  }

  #listStartBlockers(): string[] {
    const services = this.#services;
    if (services === undefined) return ["the daemon is starting"];
    const blockers: string[] = [];
    const definitions = services.get(ServiceName.Ownership).definitions();
    if (this.unassignedServices().length === definitions.length) {
      blockers.push("no assignment of any service is known yet");
    }
    const lists = services.tryGet(ServiceName.Lists);
    if (lists !== undefined && lists.current() === undefined) {
      blockers.push("no lists of plans and allowances are known yet");
    }
    return blockers;
  }

  /** Logs each change of state, and probes the platform while the daemon is starting. */
  async #watch(services: ServiceLookup): Promise<void> {
    const clock = services.get(ServiceName.Clock);
    const log = services.get(ServiceName.Log);
    let lastState: DaemonState | undefined;
    while (!this.#stopping.signal.aborted) {
      const state = this.state();
      if (state !== lastState) {
        const reason = this.blockers().join("; ") || undefined;
        log.write(LogEvent.DaemonStateChanged, { state, reason });
        lastState = state;
      }
      if (state === DaemonState.Starting) await this.#probePlatform(services);
      await clock.sleep(checkIntervalMs, this.#stopping.signal);
    }
  }

  async #probePlatform(services: ServiceLookup): Promise<void> {
    const nowMs = services.get(ServiceName.Clock).nowMs();
    if (nowMs < this.#nextProbeAtMs) return;
    this.#nextProbeAtMs = nowMs + platformProbeIntervalMs;
    const row = await services.get(ServiceName.PlatformTable)
      .read(platformProbeKey);
    this.#platformFailure = row.isErr() ? row.error.message : undefined;
  }
}
