/**
 * Runs a small deployment on loopback: a row store, backend servers of two
 * services and daemons, all in this process and connected by real sockets.
 */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { findFreePort } from "../../scripts/free_port.ts";
import { createFleetDaemon } from "../../src/daemon/create_fleet_daemon.ts";
import type { FleetSettings } from "../../src/daemon/fleet_settings.ts";
import type { Kernel } from "../../src/kernel/kernel.ts";
import { RecordingLog } from "../../src/testing/recording_log.ts";
import type { ServerEntry } from "../../src/types/routing.ts";
import { KeyServerStandin } from "./key_server_standin.ts";
import { RowStoreStandin, type StoreEntrance } from "./row_store_standin.ts";
import { SmallService } from "./small_configuration.ts";

const host = "127.0.0.1";
const retryWindowMs = 10_000;

/** A running daemon with its log and the ports that it listens on. */
export interface SmallDaemon {
  readonly kernel: Kernel;
  readonly log: RecordingLog;
  /** The daemon's own way to the store. */
  readonly storeEntrance: StoreEntrance;
  readonly callersPort: number;
  readonly readinessPort: number;
}

/** Starts and stops the store, the backend servers and the daemons. */
export class SmallFleet {
  readonly store = new RowStoreStandin();
  readonly servers: KeyServerStandin[] = [];
  readonly daemons: SmallDaemon[] = [];
  /** The port of the store, for daemons that run in processes of their own. */
  storePort = 0;
  #version = 1;

  /** Starts the store and writes the first configuration. */
  async start(): Promise<void> {
    this.storePort = await listen(this.store.server);
    this.configure();
  }

  /** Writes the next version of the configuration; each extra prefix adds a route. */
  configure(extraPrefixes: readonly string[] = []): void {
    this.#version += 1;
    this.store.writeConfiguration(this.#version, extraPrefixes);
  }

  /** Starts a backend server and registers it. */
  async addServer(
    service: SmallService,
    { serviceTimeMs, zone = "zone-a" }: {
      readonly serviceTimeMs: number;
      readonly zone?: string;
    },
  ): Promise<KeyServerStandin> {
    const id = `i-${this.servers.length + 1}`;
    const base: ServerEntry = {
      id,
      bornAtMs: Date.now(),
      service,
      address: "",
      zone,
      slotCount: 3,
      isDraining: false,
    };
    const standin = new KeyServerStandin(base, {
      serviceTimeMs,
      isSharded: service === SmallService.Roster,
    });
    const port = await listen(standin.server);
    this.servers.push(standin);
    const entry = { ...base, address: `${host}:${port}` };
    this.store.writeServer(entry);
    return standin;
  }

  /** Starts a daemon. */
  async addDaemon(): Promise<SmallDaemon> {
    const callersPort = await findFreePort();
    const readinessPort = await findFreePort();
    const peerPort = await findFreePort();
    const storeEntrance = this.store.createEntrance();
    const storePort = await listen(storeEntrance.server);
    const settings: FleetSettings = {
      daemonId: `daemon-${this.daemons.length + 1}`,
      zone: "zone-a",
      callersAddress: { host, port: callersPort },
      readinessAddress: { host, port: readinessPort },
      storeAddress: `${host}:${storePort}`,
      peerAddress: { host, port: peerPort },
      advertisedPeerAddress: `${host}:${peerPort}`,
      metricsAddress: undefined,
      coreCount: 1,
      isFirstStart: true,
      graceMs: 4_000,
      retryRatio: 0.2,
      retryWindowMs,
      retryExtraCount: 56,
    };
    const log = new RecordingLog();
    const kernel = createFleetDaemon(settings, log);
    await kernel.start();
    const daemon = {
      kernel,
      log,
      storeEntrance,
      callersPort,
      readinessPort,
    };
    this.daemons.push(daemon);
    return daemon;
  }

  /** Stops the daemons, the store and the backend servers. */
  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(({ kernel }) => kernel.stop()));
    this.store.close();
    for (const { server } of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve) =>
    server.listen(0, host, () => {
      resolve((server.address() as AddressInfo).port);
    })
  );
}
