/**
 * One term of the key granter. For each sharded service, one task plans moves
 * of keys and records them in the store; for each server of the service, one
 * task grants and renews the server's keys and releases those that move away.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { GranterLease } from "./granter_lease.ts";
import {
  type HoldTiming,
  normalHoldTiming,
  outageHoldTiming,
} from "./hold_timing.ts";
import type { LoadReport } from "./load_reports.ts";
import type { KeyRanges } from "./key_ranges.ts";
import { ServiceGranter } from "./service_granter.ts";
import { createStopController } from "../../streams/stop_controller.ts";

/** Number of fences of one term; those of the next term are above all of them. */
const fencesPerTerm = 2 ** 20;
/** Number of fences that are reserved for the moves in progress when a term is exhausted. */
const reservedFenceCount = 2 ** 14;

/** Grants the keys of all sharded services while the lease is held. */
export class GranterTerm {
  readonly #services: ServiceLookup;
  readonly #lease: GranterLease;
  readonly #stopping = createStopController();
  readonly #granters = new Map<string, ServiceGranter>();
  readonly #fenceLimit: number;
  /** The term of this daemon before, whose holds this one takes over. */
  readonly #before: GranterTerm | undefined;
  #fenceCount = 0;
  #holdTiming: HoldTiming = normalHoldTiming;

  /** The term is exhausted after `fenceLimit` fences. */
  constructor(
    services: ServiceLookup,
    lease: GranterLease,
    { fenceLimit = fencesPerTerm - reservedFenceCount, before }: {
      readonly fenceLimit?: number | undefined;
      /** An ended term that nobody else can have followed. */
      readonly before?: GranterTerm | undefined;
    } = {},
  ) {
    this.#before = before;
    this.#services = services;
    this.#lease = lease;
    this.#fenceLimit = fenceLimit;
  }

  /** Runs the tasks of all services until the term ends. */
  async run(): Promise<void> {
    const { signal } = this.#stopping;
    const routing = this.#services.get(ServiceName.Routing);
    const tasks: Promise<void>[] = [];
    while (!signal.aborted) {
      for (const service of routing.currentTable()?.services.values() ?? []) {
        if (!service.isSharded || this.#granters.has(service.name)) continue;
        const granter = new ServiceGranter(this.#services, {
          service: service.name,
          lease: this.#lease,
          rangesBefore: this.#before?.tryGetRanges(service.name),
          nextFence: () => this.#nextFence(),
          holdTiming: () => this.#holdTiming,
          signal,
        });
        this.#granters.set(service.name, granter);
        tasks.push(granter.run());
      }
      await routing.changed.wait(signal);
    }
    await Promise.all(tasks);
  }

  /** Stops all tasks. */
  end(): Promise<void> {
    this.#stopping.abort();
    return Promise.resolve();
  }

  /** Adds a daemon's load report to the loads of the services. */
  addLoad({ keys }: LoadReport): void {
    for (const [service, counts] of Object.entries(keys)) {
      this.#granters.get(service)?.addLoad(counts);
    }
  }

  /** The ranges of a service, once they are known. */
  tryGetRanges(service: string): KeyRanges | undefined {
    return this.#granters.get(service)?.ranges ??
      this.#before?.tryGetRanges(service);
  }

  /** Extends all holds, because the store does not answer. */
  prolongHolds(): void {
    if (this.#holdTiming === outageHoldTiming) return;
    this.#holdTiming = outageHoldTiming;
    for (const granter of this.#granters.values()) granter.renewAll();
  }

  /** Returns to holds of normal duration, because the store answers. */
  restoreHoldTiming(): void {
    this.#holdTiming = normalHoldTiming;
  }

  /** Whether only the reserved fences of the term are left, so that a new term must begin. */
  get isExhausted(): boolean {
    return this.#fenceCount >= this.#fenceLimit;
  }

  /** A fence above all earlier ones of this term and of previous terms. */
  #nextFence(): number {
    this.#fenceCount += 1;
    return this.#lease.term! * fencesPerTerm + this.#fenceCount;
  }
}
