/**
 * Keeps the evacuations current from the operators' table. The table feed keeps
 * the last known rows while the store does not answer, so an evacuation holds
 * until an operator's removal of its row has been read.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import { followDependencies, FollowTask } from "../feeds/follow_task.ts";
import { CounterName } from "../metrics/metrics.ts";
import { Evacuations } from "./evacuations.ts";

/** Ends of evacuations are known this long; it bounds what many rows of another writer can occupy. */
const knownEndMs = 600_000;

/** Operators write their rows again within this time after the store came back from an older copy. */
const rewriteMs = 3_000;

/** Implements `Evacuations` from the rows of the operators' table. */
export class FollowedEvacuations extends Evacuations {
  override readonly changed = new ChangeSignal();
  readonly #following = new FollowTask();
  /** The instant at which this daemon learned of each evacuation in progress, by data centre. */
  readonly #beganAtMs = new Map<string, number>();
  /** The instant at which this daemon learned of the end of each earlier evacuation, by data centre. */
  readonly #endedAtMs = new Map<string, number>();
  /** The rows as of an older copy of the store, by data centre; undefined once they count. */
  #unsettled: Map<string, number> | undefined;
  #services: ServiceLookup | undefined;

  override get dependencies(): readonly ServiceName[] {
    return [
      ...followDependencies,
      ServiceName.Metrics,
      ServiceName.ControlTables,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    const tables = services.get(ServiceName.ControlTables);
    this.#following.start(services, {
      table: tables.configurationTable,
      reader: {
        onNewEra: () => this.#beginEra(),
        onRows: (rows) => {
          const present = new Map(
            rows.flatMap(({ key, version }) => {
              const zone = tables.tryGetEvacuatedZone(key);
              return zone === undefined ? [] : [[zone, version] as const];
            }),
          );
          if (this.#unsettled === undefined) this.#replaceAll(present);
          else this.#unsettled = present;
        },
        onChanges: (changes) => {
          for (const { key, version, isRemoved } of changes) {
            const zone = tables.tryGetEvacuatedZone(key);
            if (zone === undefined) continue;
            if (isRemoved) {
              this.#unsettled?.delete(zone);
              this.#end(zone, version);
            } else {
              this.#unsettled?.set(zone, version);
              this.#begin(zone, version);
            }
          }
        },
      },
    });
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return this.#following.stop();
  }

  override isEvacuated(zone: string): boolean {
    return this.#beganAtMs.has(zone);
  }

  override evacuatedZones(): readonly string[] {
    return [...this.#beganAtMs.keys()];
  }

  override sinceBeginMs(zone: string): number | undefined {
    return this.#timeSince(this.#beganAtMs.get(zone));
  }

  override sinceEndMs(zone: string): number | undefined {
    const sinceMs = this.#timeSince(this.#endedAtMs.get(zone));
    return sinceMs !== undefined && sinceMs < knownEndMs ? sinceMs : undefined;
  }

  /** Keeps the known evacuations until operators have written their rows again. */
  #beginEra(): void {
    const isSettling = this.#unsettled !== undefined;
    this.#unsettled = new Map();
    if (isSettling) return;
    this.#services!.get(ServiceName.Clock).after(rewriteMs, () => {
      const present = this.#unsettled ?? new Map<string, number>();
      this.#unsettled = undefined;
      this.#replaceAll(present);
    });
  }

  #replaceAll(present: ReadonlyMap<string, number>): void {
    for (const zone of this.evacuatedZones()) {
      if (!present.has(zone)) this.#end(zone);
    }
    for (const [zone, version] of present) this.#begin(zone, version);
  }

  #begin(zone: string, rowVersion: number): void {
    if (this.isEvacuated(zone)) return;
    const services = this.#services!;
    this.#beganAtMs.set(zone, services.get(ServiceName.Clock).nowMs());
    this.#endedAtMs.delete(zone);
    services.get(ServiceName.Metrics).count(CounterName.EvacuationsBegun);
    services.get(ServiceName.Log)
      .write(LogEvent.EvacuationBegun, { zone, rowVersion });
    this.changed.notify();
  }

  /** Ends an evacuation; the version is unknown when a snapshot lacks its row. */
  #end(zone: string, rowVersion?: number): void {
    const lastedMs = this.sinceBeginMs(zone);
    if (lastedMs === undefined) return;
    const services = this.#services!;
    this.#beganAtMs.delete(zone);
    for (const ended of [...this.#endedAtMs.keys()]) {
      if (this.sinceEndMs(ended) === undefined) this.#endedAtMs.delete(ended);
    }
    this.#endedAtMs.set(zone, services.get(ServiceName.Clock).nowMs());
    services.get(ServiceName.Metrics).count(CounterName.EvacuationsEnded);
    services.get(ServiceName.Log).write(LogEvent.EvacuationEnded, {
      zone,
      rowVersion,
      lastedMs: Math.round(lastedMs),
    });
    this.changed.notify();
  }

  #timeSince(instantMs: number | undefined): number | undefined {
    if (instantMs === undefined) return undefined;
    return this.#services!.get(ServiceName.Clock).nowMs() - instantMs;
  }
}
