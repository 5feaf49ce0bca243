/**
 * Starts a small deployment on loopback: the project's stand-in of the store in
 * this process, and daemons as processes with the command of the deploy file.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { configurationKey, tables } from "../../platform/names.ts";
import { findFreePort } from "../../scripts/free_port.ts";
import { isDaemonReady } from "../../standins/fleet/caller_standin.ts";
import { encodeDaemonSettings } from "../../standins/fleet/daemon_settings.ts";
import { RowStoreStandin } from "../../standins/fleet/row_store_standin.ts";
import {
  routeColumns,
  serviceColumns,
} from "../../standins/fleet/small_configuration.ts";

export const host = "127.0.0.1";
const readyLimitMs = 20_000;
const readyPollMs = 100;

/** A route of the configuration. */
export interface RouteEntry {
  readonly prefix: string;
  readonly kind: "safe" | "unsafe" | "download" | "upload";
  readonly service: string;
  readonly timeoutMs: number;
  readonly objectiveMs: number;
  readonly attempts: number;
}

/** A service of the configuration. */
export interface ServiceEntry {
  readonly name: string;
  readonly isSharded: boolean;
}

/** What the operator writes. */
export interface ConfigurationEntry {
  readonly version: number;
  readonly routes: readonly RouteEntry[];
  readonly services: readonly ServiceEntry[];
  readonly headerTimeoutMs?: number;
}

export const routeHost = "app.example";
const defaultHeaderTimeoutMs = 3_000;

/** A daemon in a process of its own. */
export interface Daemon {
  readonly id: string;
  readonly process: ChildProcess;
  readonly callersPort: number;
  readonly readinessPort: number;
  readonly logPath: string;
}

/** Starts daemons, and ends them with `stop`. */
export class Deployment {
  readonly store = new RowStoreStandin();
  readonly daemons: Daemon[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "skylarkridge-case-"));
  #storePort = 0;

  /** Starts the store and writes the first configuration. */
  async start(configuration: ConfigurationEntry): Promise<void> {
    this.store.server.listen(0, host);
    await once(this.store.server, "listening");
    this.#storePort = (this.store.server.address() as AddressInfo).port;
    this.configure(configuration);
  }

  /** Writes a version of the configuration. */
  configure(configuration: ConfigurationEntry): void {
    const { version, routes, services } = configuration;
    const { headerTimeoutMs = defaultHeaderTimeoutMs } = configuration;
    const value = Buffer.from(JSON.stringify({
      version: `r${version}`,
      routes: {
        columns: routeColumns,
        rows: routes.map((route) => [
          route.prefix,
          routeHost,
          route.prefix,
          route.kind,
          route.timeoutMs,
          route.objectiveMs,
          1,
          null,
          route.attempts,
          route.service,
        ]),
      },
      services: {
        columns: serviceColumns,
        rows: services.map((
          { name, isSharded },
        ) => [name, "/healthz", 100, isSharded ? true : null, null]),
      },
      limits: {
        header_bytes: 16_384,
        body_bytes: 4_000_000,
        header_timeout_ms: headerTimeoutMs,
        idle_timeout_ms: 15_000,
      },
    }));
    this.store.rows.put(tables.configuration, configurationKey, value);
  }

  /** Starts a daemon; `storePort` leads to the store, such as a proxy's port. */
  async addDaemon(options: { readonly storePort?: number } = {}): Promise<
    Daemon
  > {
    const id = `front-${this.daemons.length + 1}`;
    const callersPort = await findFreePort();
    const readinessPort = await findFreePort();
    const peerPort = await findFreePort();
    const settingsPath = join(this.#folder, `${id}.json`);
    const logPath = join(this.#folder, `${id}.log`);
    writeFileSync(
      settingsPath,
      encodeDaemonSettings(id, {
        callersPort,
        readinessPort,
        storePort: options.storePort ?? this.#storePort,
        peerPort,
      }),
    );
    const [program, ...words] = readRunCommand();
    const log = openSync(logPath, "a");
    const daemon = spawn(program!, words, {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SKYLARKRIDGE_BOOT: settingsPath,
      },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    const started = {
      id,
      process: daemon,
      callersPort,
      readinessPort,
      logPath,
    };
    this.daemons.push(started);
    return started;
  }

  /** Waits until all daemons say that they are ready; throws if one does not. */
  async waitUntilReady(): Promise<void> {
    const endsAtMs = performance.now() + readyLimitMs;
    for (const { id, readinessPort } of this.daemons) {
      while (!await isDaemonReady(readinessPort, { timeoutMs: 500 })) {
        if (performance.now() > endsAtMs) throw new Error(`${id} isn't ready`);
        await delay(readyPollMs);
      }
    }
  }

  /** Ends all processes that this deployment started. */
  async stop(): Promise<void> {
    for (const { process: daemon } of this.daemons) {
      if (daemon.exitCode !== null || daemon.signalCode !== null) continue;
      const ended = once(daemon, "exit");
      daemon.kill("SIGKILL");
      await ended;
    }
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#folder, { recursive: true });
    } else {
      console.log(`logs in ${this.#folder}`);
    }
  }
}

/** The command of the daemon in the deploy file, which is run from the repository's root. */
function readRunCommand(): string[] {
  const path = resolve("deploy/system.toml");
  const match = /^run = "(.+)"$/m.exec(readFileSync(path, "utf8"));
  if (match === null) throw new Error(`${path} has no command`);
  return match[1]!.split(" ");
}
