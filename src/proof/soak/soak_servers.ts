/**
 * The store and the backend servers of one run, each server behind a proxy that
 * injects link faults. As on the platform, servers register themselves, and the
 * entry of a crashed server is removed after missed heartbeats.
 */
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import {
  KeyServerStandin,
  ServerFault,
} from "../../../standins/fleet/key_server_standin.ts";
import { RowStoreStandin } from "../../../standins/fleet/row_store_standin.ts";
import { SmallService } from "../../../standins/fleet/small_configuration.ts";
import { HoldMonitor } from "../../testing/hold_monitor.ts";
import type { ServerEntry } from "../../types/routing.ts";
import type { ServerExecution } from "./guarantee_checker.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";

const host = "127.0.0.1";
const serviceTimeMs = 12;
/** Factor by which holds last longer than granted, because the servers' clocks run slow. */
const holdClockFactor = 1.02;
/** Time from a crash to the removal of the entry: three heartbeats. */
const entryLifetimeMs = 2_600;
/** Time for which a server continues to serve after its entry says that it drains. */
const drainDurationMs = 2_500;
/** How long a server is cold that starts during the run, and the requests that it takes in a second. */
const coldDurationMs = 2_000;
const coldRequestsPerSecond = 4;
/** The data centres, among which the servers are divided. */
export const dataCentres = ["zone-a", "zone-b"];
/** The keys that callers use and the hold monitor checks. */
export const watchedKeys = Array.from({ length: 96 }, (_, i) => i * 683 + 5);

/** One incarnation of a server. */
export interface SoakServer {
  readonly entry: ServerEntry;
  readonly standin: KeyServerStandin;
  readonly link: LoopbackProxy;
  isStopped: boolean;
  isDraining?: boolean;
}

/** Starts, changes and ends the store and the backend servers. */
export class SoakServers {
  readonly store = new RowStoreStandin();
  readonly servers: SoakServer[] = [];
  readonly monitor = new HoldMonitor(() =>
    this.servers.map(({ standin }) => standin.keyServer)
  );
  readonly violations: string[] = [];
  #startedCount = 0;
  #isRunBegun = false;

  /** Starts the store; resolves with its port. */
  async start(): Promise<number> {
    this.store.coldRequestsPerSecond = coldRequestsPerSecond;
    this.store.server.listen(0, host);
    await once(this.store.server, "listening");
    return (this.store.server.address() as AddressInfo).port;
  }

  /** Servers that start from now on are cold at first. */
  beginRun(): void {
    this.#isRunBegun = true;
  }

  /** The servers that are not stopped. */
  get running(): SoakServer[] {
    return this.servers.filter(({ isStopped }) => !isStopped);
  }

  /** The executions of all servers, including stopped servers. */
  get executions(): ServerExecution[] {
    return this.servers.flatMap(({ entry, standin }) =>
      standin.executions.map((execution) => ({
        ...execution,
        serverId: entry.id,
      }))
    );
  }

  /** Starts a server and registers it. */
  addServer(service: string): Promise<SoakServer> {
    return this.#start(service);
  }

  /** Starts a server, as a new one or as the next incarnation of `previous`, and registers it. */
  async #start(
    service: string,
    { previous, link: keptLink, registrationDelayMs = 0 }: {
      readonly previous?: ServerEntry;
      /** The link of the previous incarnation, whose address the server keeps. */
      readonly link?: LoopbackProxy | undefined;
      readonly registrationDelayMs?: number;
    } = {},
  ): Promise<SoakServer> {
    this.#startedCount += 1;
    const base: ServerEntry = {
      id: previous?.id ?? `i-${this.#startedCount}`,
      // Distinguishes incarnations that start in the same millisecond.
      bornAtMs: Date.now() + this.#startedCount,
      service,
      address: "",
      zone: previous?.zone ??
        dataCentres[this.#startedCount % dataCentres.length]!,
      slotCount: 3,
      isDraining: false,
    };
    const coldStart = {
      durationMs: coldDurationMs,
      requestsPerSecond: coldRequestsPerSecond,
      onOverload: (requestCount: number) => {
        this.violations.push(
          `cold server ${base.id} received ${requestCount} requests in one second`,
        );
        this.crash(server);
      },
    };
    const standin = new KeyServerStandin(base, {
      // Nothing tells the daemons at once that a server at a known address is
      // cold again (docs/design/cold-servers.md), so that one starts warm.
      ...(this.#isRunBegun && keptLink === undefined ? { coldStart } : {}),
      serviceTimeMs,
      isSharded: service === SmallService.Roster,
      keys: watchedKeys,
      monitor: this.monitor,
      clockFactor: holdClockFactor,
    });
    standin.server.listen(0, host);
    await once(standin.server, "listening");
    const { port } = standin.server.address() as AddressInfo;
    const link = keptLink ?? new LoopbackProxy(port);
    const address = previous !== undefined && keptLink !== undefined
      ? previous.address
      : `${host}:${await link.listen()}`;
    keptLink?.retarget(port);
    const entry = { ...base, address };
    const server: SoakServer = { entry, standin, link, isStopped: false };
    this.servers.push(server);
    const register = () => {
      if (server.isStopped) return;
      const isDraining = server.isDraining ?? false;
      this.#register({ ...entry, isDraining }, standin.coldLeftMs);
    };
    if (registrationDelayMs === 0) register();
    else setTimeout(register, registrationDelayMs);
    if (standin.coldLeftMs > 0) {
      setTimeout(() => {
        if (!server.isStopped && !server.isDraining) this.#register(entry);
      }, coldDurationMs);
    }
    return server;
  }

  /** Ends a server without notice; its entry is removed after `entryLifetimeMs`. */
  crash(server: SoakServer): void {
    this.#endServer(server);
    setTimeout(() => this.#removeEntry(server), entryLifetimeMs);
  }

  /** Ends a server without notice and starts its next incarnation immediately, at the same address or at another. */
  async restart(
    server: SoakServer,
    { keepsAddress, registrationDelayMs }: {
      readonly keepsAddress: boolean;
      readonly registrationDelayMs: number;
    },
  ): Promise<void> {
    const { entry, link } = server;
    this.#endServer(server, { keepsLink: keepsAddress });
    await this.#start(entry.service, {
      previous: entry,
      link: keepsAddress ? link : undefined,
      registrationDelayMs,
    });
  }

  /** Marks a server as draining, and ends it after `drainDurationMs`. */
  drain(server: SoakServer): void {
    server.isDraining = true;
    this.#register({ ...server.entry, isDraining: true });
    setTimeout(() => {
      this.#endServer(server);
      this.#removeEntry(server);
    }, drainDurationMs);
  }

  /** Lets the running servers write their entries again, and removes the others, since the store may have come back from an older copy. */
  registerAgain(): void {
    for (const { entry, isStopped, isDraining, standin } of this.servers) {
      if (isStopped) continue;
      this.#register(
        { ...entry, isDraining: isDraining ?? false },
        standin.coldLeftMs,
      );
    }
    for (const server of this.servers) {
      if (server.isStopped) this.#removeEntry(server);
    }
  }

  /** Ends all servers and the store. */
  stop(): void {
    for (const server of this.running) this.#endServer(server);
    this.store.server.close();
    this.store.server.closeAllConnections();
  }

  #endServer(server: SoakServer, { keepsLink = false } = {}): void {
    if (server.isStopped) return;
    server.isStopped = true;
    server.standin.fault = ServerFault.None;
    server.standin.crash();
    if (!keepsLink) server.link.stop();
  }

  #register(entry: ServerEntry, coldLeftMs = 0): void {
    this.store.writeServer({ ...entry, coldLeftMs });
  }

  /** Removes the entry, unless a later incarnation has registered. */
  #removeEntry({ entry }: SoakServer): void {
    const isReplaced = this.servers.some((other) =>
      other.entry.id === entry.id && other.entry.bornAtMs > entry.bornAtMs
    );
    if (!isReplaced) this.store.removeServer(entry.id);
  }
}
