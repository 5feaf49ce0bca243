/**
 * A small deployment on loopback: the project's stand-in of the platform's
 * store, and daemons that run as processes with the command of the deploy file.
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
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { configurationKey, tables } from "../../platform/names.ts";
import { findFreePort } from "../../scripts/free_port.ts";
import { encodeDaemonSettings } from "../../standins/fleet/daemon_settings.ts";
import { RowStoreStandin } from "../../standins/fleet/row_store_standin.ts";
import {
  routeColumns,
  serviceColumns,
} from "../../standins/fleet/small_configuration.ts";
import type { Record } from "./record.ts";

export const host = "127.0.0.1";
export const callerHost = "app.example";
/** Longest wait for a daemon to become ready after its start. */
const readyTimeoutMs = 20_000;
const readyPollIntervalMs = 100;

/** One route of the configuration. */
export interface RouteSpec {
  readonly prefix: string;
  readonly kind: "safe" | "unsafe" | "download" | "upload";
  readonly service: string;
  readonly timeoutMs: number;
  readonly objectiveMs: number;
  readonly attempts: number;
}

/** One service of the configuration. */
export interface ServiceSpec {
  readonly name: string;
  readonly isSharded: boolean;
}

/** What a backend server writes to the store about itself. */
export interface ServerRow {
  readonly id: string;
  readonly bornAtMs: number;
  readonly service: string;
  readonly address: string;
  readonly slotCount: number;
}

/** A daemon that runs as a process. */
export interface Daemon {
  readonly name: string;
  readonly process: ChildProcess;
  readonly callersPort: number;
  readonly readinessPort: number;
  readonly logPath: string;
}

/** Runs the store and the daemons; `end` ends everything. */
export class Deployment {
  readonly store = new RowStoreStandin();
  readonly folder = mkdtempSync(join(tmpdir(), "review-2-"));
  readonly daemons: Daemon[] = [];
  readonly #record: Record;
  #storePort = 0;
  #version = 0;

  constructor(record: Record) {
    this.#record = record;
  }

  /** Starts the store. */
  async start(): Promise<void> {
    this.store.server.listen(0, host);
    await once(this.store.server, "listening");
    this.#storePort = (this.store.server.address() as AddressInfo).port;
  }

  /** Writes the next version of the configuration. */
  configure(
    routes: readonly RouteSpec[],
    services: readonly ServiceSpec[],
  ): void {
    this.#version += 1;
    const value = {
      version: `r${this.#version}`,
      routes: {
        columns: routeColumns,
        rows: routes.map((route) => [
          route.prefix,
          callerHost,
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
        rows: services.map(({ name, isSharded }) => [
          name,
          "/healthz",
          110,
          isSharded ? true : null,
          null,
        ]),
      },
      limits: {
        header_bytes: 16_384,
        body_bytes: 4_000_000,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
    };
    this.store.rows.put(
      tables.configuration,
      configurationKey,
      Buffer.from(JSON.stringify(value)),
    );
    this.#record.note(`operator: configuration r${this.#version}`);
  }

  /** Writes the row of a backend server. */
  register({ id, bornAtMs, service, address, slotCount }: ServerRow): void {
    this.store.writeServer({
      id,
      bornAtMs,
      service,
      address,
      slotCount,
      zone: "zone-a",
      isDraining: false,
    });
    this.#record.note(`server ${id} of ${service} registers at ${address}`);
  }

  /** Starts a daemon with the command of the deploy file; resolves when it is ready. */
  async startDaemon(): Promise<Daemon> {
    const name = `front-${this.daemons.length + 1}`;
    const ports = {
      callersPort: await findFreePort(),
      readinessPort: await findFreePort(),
      storePort: this.#storePort,
      peerPort: await findFreePort(),
    };
    const settingsPath = join(this.folder, `${name}.json`);
    writeFileSync(settingsPath, encodeDaemonSettings(name, ports));
    const logPath = join(this.folder, `${name}.log`);
    const logFile = openSync(logPath, "a");
    const [program = "node", ...words] = readRunCommand();
    const child = spawn(program, words, {
      stdio: ["ignore", logFile, logFile],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SKYLARKRIDGE_BOOT: settingsPath,
      },
    });
    closeSync(logFile);
    const daemon = { name, process: child, logPath, ...ports };
    this.daemons.push(daemon);
    child.once("exit", (code, signal) => {
      this.#record.note(`daemon ${name} ended: ${signal ?? code}`);
    });
    await this.#waitUntilReady(daemon);
    this.#record.note(`daemon ${name} is ready`);
    return daemon;
  }

  async #waitUntilReady(daemon: Daemon): Promise<void> {
    const endsAtMs = performance.now() + readyTimeoutMs;
    while (performance.now() < endsAtMs) {
      if (await isReady(daemon)) return;
      await delay(readyPollIntervalMs);
    }
    throw new Error(
      `${daemon.name} is not ready:\n${readFileSync(daemon.logPath, "utf8")}`,
    );
  }

  /** Ends the daemons and the store, and removes the folder. */
  async end(): Promise<void> {
    for (const { process: child } of this.daemons) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const ended = once(child, "exit");
      child.kill("SIGKILL");
      await ended;
    }
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Asks a daemon for its readiness, as the platform does. */
export async function isReady({ readinessPort }: Daemon): Promise<boolean> {
  try {
    const answer = await fetch(`http://${host}:${readinessPort}/api/readyz`, {
      signal: AbortSignal.timeout(1_000),
    });
    await answer.arrayBuffer();
    return answer.status === 200;
  } catch {
    return false;
  }
}

/** The words of the command with which the platform starts the daemon. */
function readRunCommand(): string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const match = /^run = "(.*)"$/m.exec(text);
  if (match === null) throw new Error("the deploy file has no run command");
  return match[1]!.split(" ");
}
