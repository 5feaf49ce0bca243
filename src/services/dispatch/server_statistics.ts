/**
 * Statistics of a backend server as seen by this daemon: in-flight requests,
 * load and failures. They decide whether the server is avoided.
 */
import type { ServerLoad } from "../../types/routing.ts";

/** Weight of the newest sample in the exponential moving averages. */
const sampleWeight = 0.25;
/**
 * Time constant of the exponential decay of other daemons' load, in which the
 * estimate loses about two thirds of its weight.
 */
const otherLoadDecayMs = 1_500;
/** Sum of failure weights since the last answer at which a server is avoided. */
const avoidanceThreshold = 4;
/**
 * A server that answered within this time is known to run. If it resets
 * connections, it does so because it is full.
 */
const recentAnswerMs = 1_000;

/** Weight of a failed attempt in the decision to avoid a server. */
export enum FailureWeight {
  /** No answer in time; the server may only be busy. */
  Timeout = 1,
  /** The connection failed. */
  Connection = 2,
}

/** Statistics of one server. */
export class ServerStatistics {
  /** Requests of this daemon at the server. */
  inFlightCount = 0;
  /** Average fraction of recent attempts that failed. */
  failureFraction = 0;
  /** Whether requests go to other servers until a health check succeeds. */
  isAvoided = false;
  #pauseEndsAtMs = -Infinity;
  #failureWeight = 0;
  #answeredAtMs = -Infinity;
  #otherCount = 0;
  #otherCountAtMs = 0;
  #reportedAtMs = -Infinity;

  /** Requests at the server: those of this daemon and an estimate of all others. */
  estimateLoad(nowMs: number): number {
    const ageMs = nowMs - this.#otherCountAtMs;
    const otherCount = this.#otherCount * Math.exp(-ageMs / otherLoadDecayMs);
    return this.inFlightCount + otherCount;
  }

  /** Time since the server last reported its load; infinite before its first report. */
  reportAgeMs(nowMs: number): number {
    return nowMs - this.#reportedAtMs;
  }

  /** Updates the estimate of other daemons' requests from the load that the server reported. */
  noteLoad(load: ServerLoad, nowMs: number): void {
    const otherCount = Math.max(
      0,
      load.runningCount + load.waitingCount - this.inFlightCount,
    );
    const ageMs = nowMs - this.#otherCountAtMs;
    const decayed = this.#otherCount * Math.exp(-ageMs / otherLoadDecayMs);
    this.#otherCount = decayed + (otherCount - decayed) / 2;
    this.#otherCountAtMs = nowMs;
    this.#reportedAtMs = nowMs;
  }

  /** Records a whole answer. */
  noteAnswer(nowMs: number): void {
    this.#answeredAtMs = nowMs;
    this.noteSuccess();
  }

  /** Records that the server wants nothing from this daemon; returns false if a pause is in progress. */
  notePause(pauseMs: number, nowMs: number): boolean {
    const wasPaused = this.remainingPauseMs(nowMs) > 0;
    this.#pauseEndsAtMs = Math.max(this.#pauseEndsAtMs, nowMs + pauseMs);
    return !wasPaused;
  }

  /** How much longer the server wants nothing from this daemon; 0 outside a pause. */
  remainingPauseMs(nowMs: number): number {
    return Math.max(0, this.#pauseEndsAtMs - nowMs);
  }

  /** Records that the server is reachable and served a request. */
  noteSuccess(): void {
    this.#failureWeight = 0;
    this.failureFraction -= this.failureFraction * sampleWeight / 2;
  }

  /** Records that the server is reachable but did not serve a request. */
  noteRefusal(): void {
    this.#failureWeight = 0;
    this.failureFraction += (1 - this.failureFraction) * sampleWeight / 2;
  }

  /** Whether the server answered so recently that it must be running. */
  hasAnsweredRecently(nowMs: number): boolean {
    return nowMs - this.#answeredAtMs < recentAnswerMs;
  }

  /** Records a failed attempt; returns true if it causes the server to be avoided. */
  noteFailure(weight: FailureWeight): boolean {
    this.#failureWeight += weight;
    this.failureFraction += (1 - this.failureFraction) * sampleWeight;
    if (this.isAvoided || this.#failureWeight < avoidanceThreshold) {
      return false;
    }
    this.isAvoided = true;
    return true;
  }

  /** Stops avoiding the server, after a successful health check. */
  readmit(): void {
    this.isAvoided = false;
    this.#failureWeight = 0;
  }
}
