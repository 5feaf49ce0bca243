/**
 * Callers of one run, one task each. A caller keeps its connection until a
 * request on it fails, and then connects to a random daemon. Some callers send
 * in turns; others always have a request in flight.
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
/** How many of the callers always have a request in flight on their connection. */
const overlappingCallerCount = 4;
/** How long a caller waits for an answer. */
export const callerTimeoutMs = 3_000;
const turnPauseMs = 40;
/** Maximum number of requests that a caller sends in one turn without waiting for answers. */
const pipelineDepth = 3;
/** Time between two requests of an overlapping caller; shorter than the servers take for a request. */
const overlappingPauseMs = 5;
/** Maximum number of requests that an overlapping caller has in flight. */
const overlappingDepth = 8;
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
    this.#tasks = Array.from(
      { length: callerCount },
      (_, i) =>
        i < overlappingCallerCount
          ? this.#runOverlappingCaller()
          : this.#runCaller(),
    );
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

  /** Sends reads, each before the answer to the previous one, until one fails. */
  async #runOverlappingCaller(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const caller = this.#connect(overlappingDepth);
      const inFlight = new Set<Promise<void>>();
      let hasFailed = false;
      while (!hasFailed && !signal.aborted) {
        const task = caller.send(this.#createRead()).then((record) => {
          this.records.push(record);
          hasFailed ||= !isSuccess(record);
          inFlight.delete(task);
        });
        inFlight.add(task);
        await delay(overlappingPauseMs);
        if (inFlight.size >= overlappingDepth) await Promise.race(inFlight);
      }
      await Promise.all(inFlight);
      await caller.close();
      await delay(turnPauseMs);
    }
  }

  #connect(pipelining = pipelineDepth): CallerStandin {
    const daemon = pickByFraction(this.#daemons, this.#random.nextFraction());
    return new CallerStandin({
      daemonIndex: daemon.index,
      port: daemon.callersPort,
      timeoutMs: callerTimeoutMs,
      pipelining,
    });
  }

  #createRequests(): CallerRequest[] {
    const random = this.#random;
    if (random.nextFraction() < nonIdempotentFraction) {
      const body = "x".repeat(random.nextInt(4_000));
      return [{ method: nonIdempotentMethod, path: "/pay/confirm", body }];
    }
    const count = 1 + random.nextInt(pipelineDepth);
    return Array.from({ length: count }, () => this.#createRead());
  }

  #createRead(): CallerRequest {
    return {
      method: "GET",
      path: "/roster/list",
      key: pickByFraction(watchedKeys, this.#random.nextFraction()),
    };
  }
}
