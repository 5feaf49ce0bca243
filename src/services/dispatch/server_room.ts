/**
 * Forecasts when servers that are full will have room for requests of this
 * daemon: when the last reported load of other daemons will have decayed, and
 * when requests of this daemon will have ended. Answers bursts of any length,
 * for a pool as for the owner of a key. This module does no I/O.
 */
import type { RoomForecast } from "./admission_policy.ts";
import {
  type ChoiceContext,
  isFull,
  type ServerCandidate,
} from "./choose_server.ts";

/** Accuracy of the instant at which there is room. */
const searchStepMs = 10;

/** The expected room of the servers that may run a request. */
export class ServerRoom implements RoomForecast {
  readonly #candidates: readonly ServerCandidate[];
  readonly #context: ChoiceContext;
  readonly serviceMs: number;

  constructor(
    candidates: readonly ServerCandidate[],
    context: ChoiceContext,
  ) {
    this.#candidates = candidates;
    this.#context = context;
    this.serviceMs = candidates.length === 0
      ? 0
      : Math.min(...candidates.map((each) => this.#serviceMsAt(each)));
  }

  /** Age of the newest report of a server's load. */
  get reportAgeMs(): number {
    const { nowMs } = this.#context;
    return Math.min(
      ...this.#candidates
        .map(({ statistics }) => statistics.reportAgeMs(nowMs)),
    );
  }

  roomCountAt(atMs: number): number {
    const waitMs = Math.max(0, atMs - this.#context.nowMs);
    let roomCount = 0;
    for (const candidate of this.#candidates) {
      const { inFlightCount } = candidate.statistics;
      if (!this.#isFullAt(candidate, atMs)) roomCount += 1;
      const serviceMs = this.#serviceMsAt(candidate);
      roomCount += inFlightCount * Math.min(1, waitMs / serviceMs);
    }
    return roomCount;
  }

  /** The first instant at which a server is expected to have room; `latestMs` if there is none before. */
  findRoomAtMs(latestMs: number): number {
    let lowMs = this.#context.nowMs;
    let highMs = latestMs;
    while (highMs - lowMs > searchStepMs) {
      const middleMs = (lowMs + highMs) / 2;
      const hasRoom = this.#candidates
        .some((candidate) => !this.#isFullAt(candidate, middleMs));
      if (hasRoom) highMs = middleMs;
      else lowMs = middleMs;
    }
    return highMs;
  }

  #serviceMsAt({ server }: ServerCandidate): number {
    const { capacities, route } = this.#context;
    return capacities.serviceMs(server, route.name);
  }

  #isFullAt(candidate: ServerCandidate, atMs: number): boolean {
    return isFull(candidate, { ...this.#context, nowMs: atMs });
  }
}
