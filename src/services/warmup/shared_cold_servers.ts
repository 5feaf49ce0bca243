/**
 * Follows the rows of the servers and of the daemons, and answers what this
 * daemon may send to each server. What is known is decided in `ColdRecord`, and
 * the part of this daemon in `ColdShares`.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { createStopController } from "../../streams/stop_controller.ts";
import { incarnationOf, type ServerEntry } from "../../types/routing.ts";
import { CounterName } from "../metrics/metrics.ts";
import { ColdRecord, ColdSource, Warmth } from "./cold_record.ts";
import { ColdServers } from "./cold_servers.ts";
import { ColdShares } from "./cold_shares.ts";

/**
 * Time after the end of an evacuation for which servers of the data centre
 * count as cold: the row of one that turned cold shortly before may be underway.
 */
const returnMs = 2_600;

/** Implements `ColdServers` with shares that need no messages. */
export class SharedColdServers extends ColdServers {
  readonly #shares: ColdShares;
  /** By incarnation. */
  readonly #records = new Map<string, ColdRecord>();
  readonly #stopping = createStopController();
  #tasks: readonly Promise<void>[] = [];
  #services: ServiceLookup | undefined;

  constructor(options: { readonly daemonId: string }) {
    super();
    this.#shares = new ColdShares(options.daemonId);
  }

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.Routing,
      ServiceName.Directory,
      ServiceName.KeySpace,
      ServiceName.Evacuations,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    this.#tasks = [this.#followServers(services), this.#followFleet(services)];
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.#stopping.abort();
    await Promise.all(this.#tasks);
  }

  override warmthOf(server: ServerEntry): Warmth {
    const record = this.#tryGetRecord(server);
    if (record === undefined) return Warmth.Warm;
    const warmth = record.warmthAt(this.#nowMs());
    const isReturning = this.#returningMs(server) > 0;
    return isReturning && warmth !== Warmth.Cold ? Warmth.Unconfirmed : warmth;
  }

  override coldLeftMs(server: ServerEntry): number {
    const record = this.#tryGetRecord(server);
    if (record === undefined) return 0;
    return Math.max(
      record.coldLeftMs(this.#nowMs()),
      this.#returningMs(server),
    );
  }

  override partOf(server: ServerEntry): number {
    return this.#tryGetRecord(server)?.partAt(this.#nowMs()) ?? 1;
  }

  override noteCold(server: ServerEntry, coldLeftMs: number): void {
    const record = this.#tryGetRecord(server);
    if (!record?.noteHealthCheck(coldLeftMs, this.#nowMs())) return;
    this.#report(server, ColdSource.HealthCheck, coldLeftMs);
  }

  override noteBroken(server: ServerEntry): boolean {
    const record = this.#tryGetRecord(server);
    if (!record?.noteBroken(this.#nowMs())) return false;
    const services = this.#services!;
    services.get(ServiceName.Metrics).count(CounterName.ServersUnconfirmed);
    services.get(ServiceName.Log).write(LogEvent.ServerUnconfirmed, {
      server: server.id,
      service: server.service,
    });
    return true;
  }

  override waitMs(server: ServerEntry): number {
    const nowMs = this.#nowMs();
    const restrictedMs = this.#restrictedMs(server);
    if (restrictedMs <= 0) return 0;
    const rate = this.#tryGetRate(server)!;
    return Math.min(restrictedMs, this.#shares.waitMs(server.id, rate, nowMs));
  }

  override tryTake(server: ServerEntry): boolean {
    const nowMs = this.#nowMs();
    if (this.#restrictedMs(server) <= 0) return true;
    const rate = this.#tryGetRate(server)!;
    if (!this.#shares.tryTake(server.id, rate, nowMs)) return false;
    this.#services!.get(ServiceName.Metrics)
      .count(CounterName.ColdSharesUsed, server.service);
    return true;
  }

  /** How much longer the server gets only what the shares allow. */
  #restrictedMs(server: ServerEntry): number {
    const record = this.#tryGetRecord(server);
    if (record === undefined) return 0;
    return Math.max(
      record.restrictedMs(this.#nowMs()),
      this.#returningMs(server),
    );
  }

  /** How much longer the server counts as cold after an evacuation of its data centre. */
  #returningMs({ zone }: ServerEntry): number {
    const sinceEndMs = this.#services!.get(ServiceName.Evacuations)
      .sinceEndMs(zone) ?? Infinity;
    return Math.max(0, returnMs - sinceEndMs);
  }

  #nowMs(): number {
    return this.#services!.get(ServiceName.Clock).nowMs();
  }

  #tryGetRate({ service }: ServerEntry): number | undefined {
    return this.#services!.get(ServiceName.Routing).currentTable()
      ?.services.get(service)?.coldRequestsPerSecond;
  }

  /** The record of a server, with its row noted; undefined for services without a cold rate. */
  #tryGetRecord(server: ServerEntry): ColdRecord | undefined {
    if (this.#tryGetRate(server) === undefined) return undefined;
    const incarnation = incarnationOf(server);
    let record = this.#records.get(incarnation);
    if (record === undefined) {
      record = new ColdRecord();
      this.#records.set(incarnation, record);
    }
    const { coldLeftMs = 0, rowVersion = 0 } = server;
    const row = { version: rowVersion, coldLeftMs };
    if (record.noteRow(row, this.#nowMs())) {
      this.#report(server, ColdSource.Row, coldLeftMs);
    }
    return record;
  }

  #report(server: ServerEntry, source: ColdSource, coldLeftMs: number): void {
    const services = this.#services!;
    services.get(ServiceName.Metrics).count(CounterName.ServersCold, source);
    services.get(ServiceName.Log).write(LogEvent.ServerCold, {
      server: server.id,
      service: server.service,
      source,
      coldLeftMs: Math.round(coldLeftMs),
      rowVersion: server.rowVersion,
    });
    void this.#reportWarm(server);
  }

  /** Logs the end of the server's coldness, unless the incarnation ends before. */
  async #reportWarm(server: ServerEntry): Promise<void> {
    const { signal } = this.#stopping;
    const services = this.#services!;
    const clock = services.get(ServiceName.Clock);
    const record = this.#records.get(incarnationOf(server))!;
    const startedAtMs = clock.nowMs();
    for (;;) {
      const leftMs = record.coldLeftMs(clock.nowMs());
      if (leftMs <= 0) break;
      await clock.sleep(leftMs, signal);
      if (signal.aborted) return;
    }
    if (this.#records.get(incarnationOf(server)) !== record) return;
    services.get(ServiceName.Log).write(LogEvent.ServerWarm, {
      server: server.id,
      service: server.service,
      tookMs: Math.round(clock.nowMs() - startedAtMs),
    });
  }

  /** Notes each new row when it arrives, since its time counts from then. */
  async #followServers(services: ServiceLookup): Promise<void> {
    const { signal } = this.#stopping;
    const directory = services.get(ServiceName.Directory);
    while (!signal.aborted) {
      const seenCount = directory.changed.notifyCount;
      const routed = services.get(ServiceName.Routing).currentTable()?.services;
      for (const { name, coldRequestsPerSecond } of routed?.values() ?? []) {
        if (coldRequestsPerSecond === undefined) continue;
        for (const server of directory.usableServers(name)) {
          this.#tryGetRecord(server);
        }
      }
      this.#removeGoneServers();
      if (directory.changed.notifyCount === seenCount) {
        await directory.changed.wait(signal);
      }
    }
  }

  #removeGoneServers(): void {
    const directory = this.#services!.get(ServiceName.Directory);
    for (const incarnation of this.#records.keys()) {
      const id = incarnation.slice(0, incarnation.lastIndexOf("@"));
      const present = directory.tryGet(id);
      if (present === undefined || incarnationOf(present) !== incarnation) {
        this.#records.delete(incarnation);
      }
    }
    this.#shares.removeGone(
      (id) => directory.tryGet(id) !== undefined,
      this.#nowMs(),
    );
  }

  async #followFleet(services: ServiceLookup): Promise<void> {
    const { signal } = this.#stopping;
    const keySpace = services.get(ServiceName.KeySpace);
    while (!signal.aborted) {
      this.#shares.noteFleet(keySpace.daemonIds(), this.#nowMs());
      await keySpace.changed.wait(signal);
    }
  }
}
