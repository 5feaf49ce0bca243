/**
 * Callers of one run, one task each. A caller keeps its connection until a
 * request on it fails, and then connects to a random daemon.
 */
import { setTimeout as delay } from "node:timers/promises";
import {
  type CallerRecord,
  type CallerRequest,
  CallerStandin,
  isSuccess,
} from "../../../standins/fleet/caller_standin.ts";
import { SeededRandomSource } from "../../host/random_source.ts";
import { createStopController } from "../../streams/stop_controller.ts";
import { nonIdempotentMethod } from "./guarantee_checker.ts";
import type { SoakDaemon } from "./soak_daemons.ts";
import { pickByFraction } from "./soak_plan.ts";
import { watchedKeys } from "./soak_servers.ts";

const callerCount = 12;
/** How long a caller waits for an answer. */
export const callerTimeoutMs = 3_000;
const turnPauseMs = 40;
/** Maximum number of requests that a caller sends in one turn without waiting for answers. */
const pipelineDepth = 3;
/** Fraction of the turns that send a non-idempotent request. */
const nonIdempotentFraction = 0.4;

/** Sends requests until `stop` is called. */
export class SoakCallers {
  readonly records: CallerRecord[] = [];
  readonly #daemons: readonly SoakDaemon[];
  readonly #random: SeededRandomSource;
  readonly #stopping = createStopController();
  #tasks: readonly Promise<void>[] = [];

  constructor(daemons: readonly SoakDaemon[], seed: number) {
    this.#daemons = daemons;
    this.#random = new SeededRandomSource(seed);
  }

  /** Starts one task for each caller. */
  start(): void {
    this.#tasks = Array.from({ length: callerCount }, () => this.#runCaller());
  }

  /** Starts no more turns; resolves when the in-flight requests have ended. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await Promise.all(this.#tasks);
  }

  async #runCaller(): Promise<void> {
    const { signal } = this.#stopping;
    let caller = this.#connect();
    while (!signal.aborted) {
      const records = await Promise.all(
        this.#createRequests().map((request) => caller.send(request)),
      );
      this.records.push(...records);
      if (!records.every(isSuccess)) {
        await caller.close();
        caller = this.#connect();
      }
      await delay(turnPauseMs);
    }
    await caller.close();
  }

  #connect(): CallerStandin {
    const daemon = pickByFraction(this.#daemons, this.#random.nextFraction());
    return new CallerStandin({
      daemonIndex: daemon.index,
      port: daemon.callersPort,
      timeoutMs: callerTimeoutMs,
      pipelining: pipelineDepth,
    });
  }

  #createRequests(): CallerRequest[] {
    const random = this.#random;
    if (random.nextFraction() < nonIdempotentFraction) {
      const body = "x".repeat(random.nextInt(4_000));
      return [{ method: nonIdempotentMethod, path: "/pay/confirm", body }];
    }
    const count = 1 + random.nextInt(pipelineDepth);
    return Array.from({ length: count }, () => ({
      method: "GET",
      path: "/roster/list",
      key: pickByFraction(watchedKeys, random.nextFraction()),
    }));
  }
}
