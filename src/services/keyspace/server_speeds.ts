/**
 * The speed of servers for the placing of keys: a mean of their learned
 * capacities. Keys cost something to move, so they follow a change only when it
 * lasts longer than a cold start.
 */
import { incarnationOf, type ServerEntry } from "../../types/routing.ts";
import type { CapacityEstimate } from "../capacity/capacities.ts";

/** Time over which a speed is averaged, once a server is known for so long. */
const averagedMs = 20_000;

interface AveragedSpeed {
  readonly speed: number;
  readonly knownSinceMs: number;
}

/** Slowly following speeds of the servers of one service. */
export class ServerSpeeds {
  readonly #speeds = new Map<string, AveragedSpeed>();
  #updatedAtMs: number;

  constructor(nowMs: number) {
    this.#updatedAtMs = nowMs;
  }

  /** Follows the estimates up to now. */
  follow(
    servers: readonly ServerEntry[],
    options: {
      readonly nowMs: number;
      readonly estimateOf: (server: ServerEntry) => CapacityEstimate;
    },
  ): void {
    const { nowMs, estimateOf } = options;
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    const before = new Map(this.#speeds);
    this.#speeds.clear();
    for (const server of servers) {
      const { concurrency, slownessFactor } = estimateOf(server);
      const speed = concurrency / server.slotCount / slownessFactor;
      const incarnation = incarnationOf(server);
      const known = before.get(incarnation) ??
        { speed: 1, knownSinceMs: nowMs - elapsedMs };
      const knownMs = Math.max(1, nowMs - known.knownSinceMs);
      const weight = Math.min(1, elapsedMs / Math.min(averagedMs, knownMs));
      this.#speeds.set(incarnation, {
        ...known,
        speed: known.speed + (speed - known.speed) * weight,
      });
    }
  }

  /** Number of requests that a slot of the server finishes while an average slot finishes one. */
  speedOf(incarnation: string): number {
    return this.#speeds.get(incarnation)?.speed ?? 1;
  }
}
