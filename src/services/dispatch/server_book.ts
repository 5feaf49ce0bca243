/**
 * What this daemon knows of each backend server: its own requests there, the
 * load that answers tell, how fast it works, and whether it can be reached.
 */
import type { ServerLoad } from "../../types/routing.ts";

/** Weight of the newest sample in the averages. */
const sampleWeight = 0.25;
/** Time in which knowledge of other daemons' requests loses two thirds of its weight. */
const foreignDecayMs = 1_500;
/** Assumed work time of a server that has not answered yet. */
const initialServiceMs = 150;
/** Failures in a row after which a server is avoided. */
const failuresUntilAvoided = 2;

/** One server's figures. */
export class ServerFigures {
  inFlightCount = 0;
  /** Work time of one request, without waiting. */
  serviceMs = initialServiceMs;
  /** Share of sends that failed lately. */
  failureShare = 0;
  /** Whether requests go elsewhere until a probe succeeds. */
  isAvoided = false;
  #failuresInRow = 0;
  #foreignCount = 0;
  #foreignAtMs = 0;

  /** Requests of this and, by estimate, of other daemons at the server. */
  loadAt(nowMs: number): number {
    const ageMs = nowMs - this.#foreignAtMs;
    const foreign = this.#foreignCount * Math.exp(-ageMs / foreignDecayMs);
    return this.inFlightCount + foreign;
  }

  /** Notes what the server told; `ownCount` requests of it are this daemon's. */
  noteLoad(load: ServerLoad, nowMs: number): void {
    const foreign = Math.max(
      0,
      load.runningCount + load.waitingCount - this.inFlightCount,
    );
    const ageMs = nowMs - this.#foreignAtMs;
    const kept = this.#foreignCount * Math.exp(-ageMs / foreignDecayMs);
    this.#foreignCount = kept + (foreign - kept) / 2;
    this.#foreignAtMs = nowMs;
  }

  /** Notes an answer and how long it took. */
  noteAnswer(
    durationMs: number,
    options: { readonly loadAtSend: number; readonly slotCount: number },
  ): void {
    const { loadAtSend, slotCount } = options;
    const turns = Math.max(1, (loadAtSend + 1) / slotCount);
    const sample = durationMs / turns;
    this.serviceMs += (sample - this.serviceMs) * sampleWeight;
    this.noteSuccess();
  }

  /** The server can be reached and works. */
  noteSuccess(): void {
    this.#failuresInRow = 0;
    this.failureShare -= this.failureShare * sampleWeight / 2;
  }

  /** Notes a failed send; true when the server is to be avoided from now on. */
  noteFailure(): boolean {
    this.#failuresInRow += 1;
    this.failureShare += (1 - this.failureShare) * sampleWeight;
    if (this.isAvoided || this.#failuresInRow < failuresUntilAvoided) {
      return false;
    }
    this.isAvoided = true;
    return true;
  }

  /** A probe has succeeded. */
  readmit(): void {
    this.isAvoided = false;
    this.#failuresInRow = 0;
  }
}
