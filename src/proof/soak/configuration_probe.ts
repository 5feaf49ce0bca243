/**
 * Changes the configuration and checks that each undisturbed daemon puts the
 * new version in force in time. Each version adds a route of its own and drops
 * the route of an earlier version.
 */
import { setTimeout as delay } from "node:timers/promises";
import {
  type CallerRecord,
  CallerStandin,
} from "../../../standins/fleet/caller_standin.ts";
import type { SoakDaemon, SoakDaemons } from "./soak_daemons.ts";

/** Maximum time from the write to the store until a version is in force on every undisturbed daemon. */
const maxPropagationMs = 2_000;
/** A daemon without events for this long before a new version is written counts as undisturbed. */
const minUndisturbedMs = 3_000;
/** A version contains the routes of this many versions, up to its own. */
const retainedVersionCount = 2;
const probeTimeoutMs = 1_000;
const statusNotFound = 404;

/** Writes and checks the configuration of one run. */
export class ConfigurationProbe {
  readonly violations: string[] = [];
  /** The requests of the checks. */
  readonly records: CallerRecord[] = [];
  readonly #daemons: SoakDaemons;
  readonly #write: (version: number, prefixes: readonly string[]) => void;
  #version = 0;
  #storeFaultEndsAtMs = -Infinity;

  constructor(
    daemons: SoakDaemons,
    write: (version: number, prefixes: readonly string[]) => void,
  ) {
    this.#daemons = daemons;
    this.#write = write;
  }

  /** Records that the store has a fault for the given time from now on. */
  recordStoreFault(durationMs: number): void {
    this.#storeFaultEndsAtMs = Math.max(
      this.#storeFaultEndsAtMs,
      performance.now() + durationMs,
    );
  }

  /** Writes the next version. */
  writeNextVersion(): number {
    this.#version += 1;
    const prefixes: string[] = [];
    for (let i = 0; i < retainedVersionCount; i++) {
      prefixes.push(pathPrefixOf(this.#version - i));
    }
    this.#write(this.#version, prefixes);
    return this.#version;
  }

  /** Writes the newest version again, since the store may have lost it. */
  writeAgain(): void {
    this.#version -= 1;
    this.writeNextVersion();
  }

  /** Writes the next version, and checks the routes of each undisturbed daemon. */
  async writeNextVersionAndCheck(): Promise<void> {
    const version = this.writeNextVersion();
    await delay(maxPropagationMs);
    await Promise.all(
      this.#daemons.daemons.map((daemon) => this.#check(daemon, version)),
    );
  }

  async #check(daemon: SoakDaemon, version: number): Promise<void> {
    if (!this.#isUndisturbed(daemon)) return;
    const caller = new CallerStandin({
      daemonIndex: daemon.index,
      port: daemon.callersPort,
      timeoutMs: probeTimeoutMs,
      pipelining: 1,
    });
    const fetchStatus = async (
      routeVersion: number,
    ): Promise<number | undefined> => {
      const path = `${pathPrefixOf(routeVersion)}x`;
      const record = await caller.send({ method: "GET", path });
      this.records.push(record);
      return record.status;
    };
    const droppedVersion = version - retainedVersionCount;
    const isNewRouteMissing = await fetchStatus(version) === statusNotFound;
    const droppedStatus = droppedVersion < 1
      ? statusNotFound
      : await fetchStatus(droppedVersion);
    await caller.close();
    // An event during the check may have delayed the daemon.
    if (!this.#isUndisturbed(daemon)) return;
    const isNewest = version === this.#version;
    if (isNewRouteMissing && isNewest) {
      this.violations.push(
        `daemon ${daemon.index} refuses the route of version ${version}`,
      );
    }
    if (droppedStatus !== undefined && droppedStatus < 300) {
      this.violations.push(
        `daemon ${daemon.index} serves the route of version ${droppedVersion}, which ${version} dropped`,
      );
    }
  }

  #isUndisturbed(
    { lastDisturbedAtMs, process, isEnding }: SoakDaemon,
  ): boolean {
    const nowMs = performance.now();
    return process !== undefined && !isEnding &&
      nowMs - lastDisturbedAtMs >= minUndisturbedMs + maxPropagationMs &&
      nowMs - this.#storeFaultEndsAtMs >= minUndisturbedMs + maxPropagationMs;
  }
}

function pathPrefixOf(version: number): string {
  return `/version-${version}/`;
}
