/**
 * The daemons of one run: processes that are paused, stopped and killed by
 * signals, and restarted when they end, as the platform does. Each daemon
 * reaches the store through a proxy of its own, and its peers reach the daemon
 * through another.
 */
import { once } from "node:events";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePort } from "../../../scripts/free_port.ts";
import {
  ProcessGroup,
  ProgramForm,
  type StartedProcess,
} from "../../../scripts/process_group.ts";
import {
  encodeDaemonSettings,
  graceSeconds,
} from "../../../standins/fleet/daemon_settings.ts";
import { readProcessUsage } from "../../../scripts/process_usage.ts";
import { isDaemonReady } from "../../../standins/fleet/caller_standin.ts";
import { settingsVariable } from "../../../platform/create_platform.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";

const program = "target/skylarkridged.cjs";
const msPerSecond = 1_000;
/** Upper bound of the processor time that Node uses before it runs any code of a program; unlike elapsed time, it hardly depends on the load of the machine. */
const bootProcessorMs = 250;
/** Delay before a process that ended is restarted. */
const restartDelayMs = 200;
const readinessPollIntervalMs = 50;
const readinessTimeoutMs = 1_000;

/** One daemon of a run; a restart gives it a new process. */
export interface SoakDaemon {
  readonly index: number;
  readonly callersPort: number;
  readonly readinessPort: number;
  readonly storeLink: LoopbackProxy;
  readonly peerLink: LoopbackProxy;
  process: StartedProcess | undefined;
  /** Whether a signal that ends the process was sent. */
  isEnding: boolean;
  /** Whether SIGHUP may have been sent before Node ran any code of the program. */
  receivedSighupDuringBoot: boolean;
  /** Instant of the last event of the daemon or its links; infinite during a link fault. */
  lastDisturbedAtMs: number;
}

/** Starts the daemons and sends signals to them. */
export class SoakDaemons {
  readonly daemons: SoakDaemon[] = [];
  readonly violations: string[] = [];
  readonly #group = new ProcessGroup(ProgramForm.Bundled);
  readonly #folder: string;
  readonly #storePort: number;

  /** `folder` receives the settings and the logs. */
  constructor(
    options: { readonly folder: string; readonly storePort: number },
  ) {
    this.#folder = options.folder;
    this.#storePort = options.storePort;
    mkdirSync(this.#folder, { recursive: true });
  }

  /** Adds a daemon and starts its first process. */
  async add(): Promise<void> {
    const peerPort = await findFreePort();
    const daemon: SoakDaemon = {
      index: this.daemons.length,
      callersPort: await findFreePort(),
      readinessPort: await findFreePort(),
      storeLink: new LoopbackProxy(this.#storePort),
      peerLink: new LoopbackProxy(peerPort),
      process: undefined,
      isEnding: false,
      receivedSighupDuringBoot: false,
      lastDisturbedAtMs: performance.now(),
    };
    const settings = encodeDaemonSettings(`daemon-${daemon.index}`, {
      callersPort: daemon.callersPort,
      readinessPort: daemon.readinessPort,
      storePort: await daemon.storeLink.listen(),
      peerPort,
      advertisedPeerPort: await daemon.peerLink.listen(),
    });
    writeFileSync(this.#settingsPath(daemon), settings);
    this.daemons.push(daemon);
    this.#start(daemon);
  }

  /** Waits until a daemon reports that it is ready; false after `withinMs`. */
  async waitUntilReady(daemon: SoakDaemon, withinMs: number): Promise<boolean> {
    const deadlineAtMs = performance.now() + withinMs;
    while (performance.now() < deadlineAtMs) {
      const isReady = await isDaemonReady(daemon.readinessPort, {
        timeoutMs: readinessTimeoutMs,
      });
      if (isReady) return true;
      await delay(readinessPollIntervalMs);
    }
    return false;
  }

  /** Pauses a process for the given time. */
  async pause(daemon: SoakDaemon, durationMs: number): Promise<void> {
    const { process } = daemon;
    this.#signal(daemon, "SIGSTOP");
    await delay(durationMs);
    if (daemon.process === process) this.#signal(daemon, "SIGCONT");
  }

  /** Kills a process, which is then restarted. */
  kill(daemon: SoakDaemon): void {
    daemon.isEnding = true;
    this.#signal(daemon, "SIGKILL");
  }

  /** Sends SIGTERM, and SIGKILL to a process that has not ended after the grace time. */
  async stop(daemon: SoakDaemon): Promise<void> {
    const { process } = daemon;
    if (process === undefined) return;
    daemon.isEnding = true;
    this.#signal(daemon, "SIGTERM");
    const { lastDisturbedAtMs } = daemon;
    const exited = once(process.child, "exit");
    const limit = delay(graceSeconds * msPerSecond, "late" as const);
    if (await Promise.race([exited, limit]) !== "late") return;
    if (daemon.process !== process) return;
    // Another event in the meantime may have delayed the shutdown.
    if (daemon.lastDisturbedAtMs === lastDisturbedAtMs) {
      this.violations.push(
        `daemon-${daemon.index} did not end within ${graceSeconds} s`,
      );
    }
    this.#signal(daemon, "SIGKILL");
  }

  /** Sends SIGHUP, which announces a changed settings file. */
  reload(daemon: SoakDaemon): void {
    const processId = daemon.process?.child.pid;
    if (processId === undefined) return;
    try {
      const { processorMs } = readProcessUsage(processId);
      if (processorMs < bootProcessorMs) daemon.receivedSighupDuringBoot = true;
    } catch {
      // The process has just ended.
      return;
    }
    this.#signal(daemon, "SIGHUP");
  }

  /** Ends all processes and links. */
  async end(): Promise<void> {
    for (const daemon of this.daemons) {
      daemon.process = undefined;
      daemon.storeLink.stop();
      daemon.peerLink.stop();
    }
    await this.#group.endAll();
  }

  #signal(daemon: SoakDaemon, signal: NodeJS.Signals): void {
    daemon.lastDisturbedAtMs = performance.now();
    daemon.process?.child.kill(signal);
  }

  #start(daemon: SoakDaemon): void {
    daemon.isEnding = false;
    daemon.receivedSighupDuringBoot = false;
    daemon.lastDisturbedAtMs = performance.now();
    const name = `daemon-${daemon.index}`;
    const started = this.#group.start(name, {
      program,
      environment: { [settingsVariable]: this.#settingsPath(daemon) },
      logPath: join(this.#folder, `${name}.log`),
    });
    daemon.process = started;
    started.child.once("exit", (code, signal) => {
      if (daemon.process !== started) return;
      // Until Node runs code of the program, SIGHUP has no handler and ends the process.
      const isExcused = daemon.isEnding ||
        (signal === "SIGHUP" && daemon.receivedSighupDuringBoot);
      if (!isExcused) {
        this.violations.push(
          `${name} ended by itself: code ${code}, signal ${signal}`,
        );
      }
      daemon.process = undefined;
      setTimeout(() => this.#restart(daemon), restartDelayMs);
    });
  }

  #restart(daemon: SoakDaemon): void {
    const isOver = !this.#group.isOpen;
    if (!isOver && daemon.process === undefined) this.#start(daemon);
  }

  #settingsPath({ index }: SoakDaemon): string {
    return join(this.#folder, `daemon-${index}.json`);
  }
}
