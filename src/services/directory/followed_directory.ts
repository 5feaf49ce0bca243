/**
 * Keeps the list of backend servers current from the store's table feed. After
 * an outage of the store, missing servers are kept for a short time, in which
 * those that still run register again. They are removed at once when another
 * daemon had contact with the store throughout. Servers of an evacuated data
 * centre stay registered, but are not usable.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { StoredRow } from "../../host/row_store.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import { incarnationOf, type ServerEntry } from "../../types/routing.ts";
import { followDependencies, FollowTask } from "../feeds/follow_task.ts";
import { Directory } from "./directory.ts";
import { LeavingAnnouncements } from "./leaving_announcements.ts";

/** Running servers register again within this time after an outage of the store: two seconds, plus a slow call. */
const reregistrationMs = 2_400;
/** When at least this fraction of the servers is missing, the store has lost the entries of running servers; fewer missing servers have stopped. */
const lostEntriesFraction = 0.3;
/** Removed incarnations are known this long. */
const knownRemovalMs = 30_000;
/** An entry that came back with an older copy of the store is removed again after three missed heartbeats if its server has ended. */
const deadEntryMs = 4_000;
/** Timers may fire slightly early by the monotonic clock. */
const timerSlackMs = 10;

/** Implements `Directory` from the rows of the server table. */
export class FollowedDirectory extends Directory {
  override readonly changed = new ChangeSignal();
  readonly #following = new FollowTask();
  readonly #entries = new Map<string, ServerEntry>();
  readonly #missingIds = new Set<string>();
  readonly #malformedIds = new Set<string>();
  readonly #announcements = new LeavingAnnouncements();
  /** Instant of the last removal, by incarnation. */
  readonly #removedAtMs = new Map<string, number>();
  /** Incarnations that were removed before the store came back from an older copy, which may contain their entries. */
  #distrusted: ReadonlySet<string> = new Set();
  /** Whether entries are missing because the store has lost them. */
  #isAfterOlderCopy = false;
  #usableByService = new Map<string, ServerEntry[]>();
  #evacuatedByService = new Map<string, ServerEntry[]>();
  #services: ServiceLookup | undefined;
  #isLoaded = false;
  #completeAtMs = Infinity;

  override get dependencies(): readonly ServiceName[] {
    return [
      ...followDependencies,
      ServiceName.ControlTables,
      ServiceName.Evacuations,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    const { serverTable } = services.get(ServiceName.ControlTables);
    this.#following.start(services, {
      table: serverTable,
      reader: {
        onStoreReachable: () => this.#startReregistrationPeriod(),
        onNewEra: () => this.#beginEra(),
        onRows: (rows) => this.#replaceAll(rows),
        onChanges: (changes) => {
          for (const change of changes) {
            if (change.isRemoved) this.#remove(change.key);
            else this.#putWritten(change);
          }
          this.#publish();
        },
      },
    });
    void this.#followEvacuations(services);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return this.#following.stop();
  }

  override isLoaded(): boolean {
    return this.#isLoaded;
  }

  override isComplete(): boolean {
    return this.#services!.get(ServiceName.Clock).nowMs() >= this.#completeAtMs;
  }

  override usableServers(service: string): readonly ServerEntry[] {
    return this.#usableByService.get(service) ?? [];
  }

  override evacuatedServers(service: string): readonly ServerEntry[] {
    return this.#evacuatedByService.get(service) ?? [];
  }

  override tryGet(id: string): ServerEntry | undefined {
    return this.#entries.get(id);
  }

  override noteLeaving(incarnation: string): void {
    const nowMs = this.#services!.get(ServiceName.Clock).nowMs();
    if (!this.#announcements.add(incarnation, nowMs)) return;
    const entry = [...this.#entries.values()]
      .find((known) => incarnationOf(known) === incarnation);
    this.#services!.get(ServiceName.Log).write(LogEvent.ServerLeaving, {
      server: incarnation,
      isRegistered: entry !== undefined,
      wasDraining: entry?.isDraining,
    });
    if (entry === undefined || entry.isDraining) return;
    this.#entries.set(entry.id, this.#announcements.applyTo(entry));
    this.#publish();
  }

  override leavingIncarnations(): readonly string[] {
    return this.#announcements.listPresent(this.#entries.values());
  }

  override markComplete(): void {
    this.#completeAtMs = Math.min(
      this.#completeAtMs,
      this.#services!.get(ServiceName.Clock).nowMs(),
    );
    this.#deleteMissing();
  }

  override expectReregistrations(): void {
    if (this.isComplete()) this.#startReregistrationPeriod();
  }

  async #followEvacuations(services: ServiceLookup): Promise<void> {
    const { signal } = this.#following;
    const evacuations = services.get(ServiceName.Evacuations);
    while (!signal.aborted) {
      await evacuations.changed.wait(signal);
      if (signal.aborted) return;
      this.#publish();
      if (this.#isLoaded) this.#logEvacuated();
    }
  }

  #logEvacuated(): void {
    const services = this.#services!;
    services.get(ServiceName.Log).write(LogEvent.ServersEvacuated, {
      zones: services.get(ServiceName.Evacuations).evacuatedZones().join(),
      serverCount: countServers(this.#evacuatedByService),
      usableCount: countServers(this.#usableByService),
    });
  }

  #startReregistrationPeriod(): void {
    const clock = this.#services!.get(ServiceName.Clock);
    this.#completeAtMs = clock.nowMs() + reregistrationMs;
    clock.after(reregistrationMs + timerSlackMs, () => this.#deleteMissing());
  }

  /**
   * Keeps what is known of servers when the store comes back from an older
   * copy: those that were leaving or gone may be listed as usable again, and
   * those that registered last may be missing.
   */
  #beginEra(): void {
    const clock = this.#services!.get(ServiceName.Clock);
    const nowMs = clock.nowMs();
    for (const entry of this.#entries.values()) {
      if (entry.isDraining) {
        this.#announcements.add(incarnationOf(entry), nowMs);
      }
    }
    this.#distrusted = new Set(
      [...this.#removedAtMs]
        .filter(([, removedAtMs]) => nowMs - removedAtMs < knownRemovalMs)
        .map(([incarnation]) => incarnation),
    );
    this.#isAfterOlderCopy = true;
    this.#startReregistrationPeriod();
    clock.after(deadEntryMs, () => {
      this.#distrusted = new Set();
      this.#publish();
    });
  }

  /** Accepts an entry that its server has written since the last snapshot. */
  #putWritten(row: StoredRow): void {
    this.#put(row);
    const entry = this.#entries.get(row.key);
    if (entry === undefined) return;
    const incarnation = incarnationOf(entry);
    if (!this.#distrusted.has(incarnation)) return;
    const distrusted = new Set(this.#distrusted);
    distrusted.delete(incarnation);
    this.#distrusted = distrusted;
  }

  #replaceAll(rows: readonly StoredRow[]): void {
    const present = new Set(rows.map(({ key }) => key));
    for (const id of [...this.#entries.keys()]) {
      if (!present.has(id)) this.#remove(id);
    }
    for (const row of rows) this.#put(row);
    const wasLoaded = this.#isLoaded;
    this.#isLoaded = true;
    this.#publish();
    if (wasLoaded) return;
    this.#services!.get(ServiceName.Log).write(LogEvent.ServersRead, {
      serverCount: this.#entries.size,
      malformedCount: this.#malformedIds.size,
    });
    if (this.#evacuatedByService.size > 0) this.#logEvacuated();
  }

  #put(row: StoredRow): void {
    const services = this.#services!;
    const log = services.get(ServiceName.Log);
    const decoded = services.get(ServiceName.ControlTables).decodeServer(row);
    if (decoded.isErr()) {
      this.#entries.delete(row.key);
      if (this.#malformedIds.has(row.key)) return;
      this.#malformedIds.add(row.key);
      log.write(LogEvent.ServerEntryMalformed, { reason: decoded.error });
      return;
    }
    const entry = this.#announcements.applyTo({
      ...decoded.value,
      rowVersion: row.version,
    });
    const before = this.#entries.get(entry.id);
    this.#missingIds.delete(entry.id);
    this.#entries.set(entry.id, entry);
    const hasChanged = before === undefined ||
      before.isDraining !== entry.isDraining ||
      incarnationOf(before) !== incarnationOf(entry);
    // The first read is logged as a single event.
    if (!hasChanged || !this.#isLoaded) return;
    log.write(
      entry.isDraining ? LogEvent.ServerDraining : LogEvent.ServerRegistered,
      {
        server: entry.id,
        bornAtMs: entry.bornAtMs,
        service: entry.service,
        address: entry.address,
        rowVersion: row.version,
      },
    );
  }

  #remove(id: string): void {
    this.#malformedIds.delete(id);
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    if (!this.isComplete() && !entry.isDraining) {
      this.#missingIds.add(id);
      return;
    }
    this.#delete(id);
  }

  #delete(id: string): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) this.#noteRemoved(entry);
    this.#entries.delete(id);
    this.#missingIds.delete(id);
    this.#services!.get(ServiceName.Log)
      .write(LogEvent.ServerRemoved, { server: id });
  }

  #noteRemoved(entry: ServerEntry): void {
    const nowMs = this.#services!.get(ServiceName.Clock).nowMs();
    for (const [incarnation, removedAtMs] of this.#removedAtMs) {
      if (nowMs - removedAtMs < knownRemovalMs) break;
      this.#removedAtMs.delete(incarnation);
    }
    this.#removedAtMs.delete(incarnationOf(entry));
    this.#removedAtMs.set(incarnationOf(entry), nowMs);
  }

  /** Removes the missing servers once the time for registering again has passed. */
  #deleteMissing(): void {
    if (!this.isComplete()) return;
    this.#isAfterOlderCopy = false;
    if (this.#missingIds.size === 0) return;
    for (const id of [...this.#missingIds]) this.#delete(id);
    this.#publish();
  }

  #publish(): void {
    const evacuations = this.#services!.get(ServiceName.Evacuations);
    const usableByService = new Map<string, ServerEntry[]>();
    const evacuatedByService = new Map<string, ServerEntry[]>();
    const hasStoreLostEntries = this.#isAfterOlderCopy ||
      this.#missingIds.size >= this.#entries.size * lostEntriesFraction;
    for (const entry of this.#entries.values()) {
      if (entry.isDraining) continue;
      if (this.#distrusted.has(incarnationOf(entry))) continue;
      if (!hasStoreLostEntries && this.#missingIds.has(entry.id)) continue;
      const byService = evacuations.isEvacuated(entry.zone)
        ? evacuatedByService
        : usableByService;
      const known = byService.get(entry.service);
      if (known === undefined) byService.set(entry.service, [entry]);
      else known.push(entry);
    }
    this.#usableByService = usableByService;
    this.#evacuatedByService = evacuatedByService;
    this.changed.notify();
  }
}

function countServers(
  byService: ReadonlyMap<string, readonly ServerEntry[]>,
): number {
  return [...byService.values()]
    .reduce((sum, servers) => sum + servers.length, 0);
}
