/**
 * Daemons that compete for the lease of the key granter, over one row store and
 * a set of backend servers, on virtual time. Each daemon can be frozen through
 * its clock.
 */
import { SeededRandomSource } from "../host/random_source.ts";
import { Kernel } from "../kernel/kernel.ts";
import { ServiceName } from "../kernel/service_name.ts";
import { LearnedCapacities } from "../services/capacity/learned_capacities.ts";
import { FollowedDirectory } from "../services/directory/followed_directory.ts";
import { FollowedEvacuations } from "../services/evacuation/followed_evacuations.ts";
import { StoreTableFeed } from "../services/feeds/store_table_feed.ts";
import { FollowedKeySpace } from "../services/keyspace/followed_key_space.ts";
import { LeasedKeyGranter } from "../services/keyspace/leased_key_granter.ts";
import { StatsdMetrics } from "../services/metrics/statsd_metrics.ts";
import { FollowedRouting } from "../services/routing/followed_routing.ts";
import { SharedColdServers } from "../services/warmup/shared_cold_servers.ts";
import type { RoutingTable, ServerEntry } from "../types/routing.ts";
import {
  encodeRoutingTable,
  FakeControlTables,
} from "./fake_control_tables.ts";
import { FakeKeyServers, FakeServerLink } from "./fake_key_servers.ts";
import { FakeRows, FakeRowStore } from "./fake_row_store.ts";
import { FreezableClock } from "./freezable_clock.ts";
import { RecordingLog } from "./recording_log.ts";
import { VirtualClock } from "./virtual_clock.ts";

/** The only service of these tests; it is sharded. */
export const shardedService = "roster";

/** One daemon of a granter fleet. */
export interface GranterDaemon {
  readonly id: string;
  readonly kernel: Kernel;
  readonly clock: FreezableClock;
  readonly log: RecordingLog;
}

/** A fleet that grants keys and receives no callers' requests. */
export class GranterFleet {
  readonly clock = new VirtualClock();
  readonly rows = new FakeRows(this.clock);
  readonly random: SeededRandomSource;
  readonly servers: FakeKeyServers;
  readonly daemons: GranterDaemon[] = [];
  readonly #fenceLimit: number | undefined;
  #serverCount = 0;

  /** `fenceLimit` is the number of fences after which a key granter's term ends. */
  constructor(
    seed: number,
    { fenceLimit }: { readonly fenceLimit?: number } = {},
  ) {
    this.#fenceLimit = fenceLimit;
    this.random = new SeededRandomSource(seed);
    this.servers = new FakeKeyServers(
      this.clock,
      () => this.random.nextFraction(),
    );
    this.configure(routing.version);
  }

  /** Writes a version of the configuration. */
  configure(version: number): void {
    const value = encodeRoutingTable({ ...routing, version });
    this.rows.put("configuration", "routing", value);
  }

  /** Starts a daemon. */
  async addDaemon(
    { coreCount = 1 }: { readonly coreCount?: number } = {},
  ): Promise<GranterDaemon> {
    const id = `daemon-${this.daemons.length + 1}`;
    const clock = new FreezableClock(this.clock);
    const log = new RecordingLog();
    const kernel = new Kernel()
      .register(clock)
      .register(new SeededRandomSource(this.random.nextInt(1 << 30)))
      .register(log)
      .register(new StatsdMetrics({ address: undefined, daemonId: id }))
      .register(new FakeRowStore(this.rows, { daemonId: id, clock }))
      .register(new FakeControlTables())
      .register(new FakeServerLink(this.servers))
      .register(new StoreTableFeed())
      .register(new FollowedRouting())
      .register(new FollowedEvacuations())
      .register(new FollowedDirectory())
      .register(
        new FollowedKeySpace({
          daemonId: id,
          coreCount,
          peerAddress: `${id}:1`,
        }),
      )
      .register(new SharedColdServers({ daemonId: id }))
      .register(new LearnedCapacities())
      .register(
        new LeasedKeyGranter({
          peerAddress: `${id}:1`,
          fenceLimit: this.#fenceLimit,
        }),
      );
    await kernel.start();
    const daemon = { id, kernel, clock, log };
    this.daemons.push(daemon);
    return daemon;
  }

  /** Starts and registers a server, which may be cold. */
  addServer(
    { zone = "zone-a", service = shardedService, ...state }:
      & { readonly zone?: string; readonly service?: string }
      & Pick<ServerEntry, "coldLeftMs"> = {},
  ): ServerEntry {
    this.#serverCount += 1;
    const entry: ServerEntry = {
      id: `server-${this.#serverCount}`,
      bornAtMs: 1,
      service,
      address: `10.0.0.${this.#serverCount}:80`,
      zone,
      slotCount: 3,
      isDraining: false,
      ...state,
    };
    this.servers.add(entry);
    this.register(entry);
    return entry;
  }

  /** Writes a server's entry to the row store, as the server itself would. */
  register(entry: ServerEntry): void {
    const value = Buffer.from(JSON.stringify(entry));
    this.rows.put("servers", entry.id, value);
  }

  /** Evacuates a data centre, as an operator would. */
  evacuate(zone: string): void {
    this.rows.put("configuration", `evacuation/${zone}`, new Uint8Array());
  }

  /** Ends the evacuation of a data centre. */
  endEvacuation(zone: string): void {
    this.rows.remove("configuration", `evacuation/${zone}`);
  }

  /** The daemons whose key granter considers itself active. */
  granters(): GranterDaemon[] {
    return this.daemons.filter(({ kernel }) =>
      kernel.get(ServiceName.KeyGranter).isActive()
    );
  }

  /** Stops all daemons, and advances the clock so that they can end. */
  async stop(): Promise<void> {
    const stopped = Promise.all(
      this.daemons.map(({ kernel }) => kernel.stop()),
    );
    await this.clock.advance(10_000);
    await stopped;
  }
}

/** The configuration at the start. */
export const routing: RoutingTable = {
  version: 1,
  routes: [],
  services: new Map([[shardedService, {
    name: shardedService,
    healthPath: "/health",
    maxConnections: 100,
    isSharded: true,
    coldRequestsPerSecond: 4,
  }]]),
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};
