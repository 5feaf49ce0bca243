/**
 * Judges one backend server. What requests show outweighs what its health
 * endpoint says: a server that answers requests is not lost when a probe
 * fails, and one that answers none is lost however healthy it claims to be.
 */
import { BackendServerState } from "../../types/enums.ts";
import type { BackendReport } from "../../host/backend_transport.ts";

/** An answer this recent outweighs failed probes, in milliseconds. */
const recentAnswerMs = 1_000;
/** Requests that wait this long for any answer raise a suspicion. */
const suspectSilenceMs = 250;
/** Failures in a row that make a server lost whatever its probes say. */
const failuresUntilLost = 3;
/** Failures in a row count only when they span at least this time. */
const failureSpanMs = 600;
/** Failed probes in a row that make an idle server lost. */
const probeFailuresUntilLost = 2;
/** First time for which a lost server's healthy probes are not believed. */
const firstHoldOffMs = 500;
const maxHoldOffMs = 8_000;
/** Answers that prove a warming server live again and reset its hold-off. */
const answersUntilHoldOffReset = 8;
/** Reports of a warm server in a row that make it live without traffic. */
const warmReportsUntilLive = 2;

/** The state of one server and the evidence behind it. */
export class ServerHealth {
  #state: BackendServerState;
  #lastAnswerAtMs = Number.NEGATIVE_INFINITY;
  #consecutiveAnswerCount = 0;
  #consecutiveFailureCount = 0;
  #firstFailureAtMs = 0;
  #consecutiveProbeFailureCount = 0;
  #silenceStartedAtMs: number | undefined;
  #lostAtMs = 0;
  #holdOffMs = firstHoldOffMs;
  #drainingSeenAtMs: number | undefined;
  #consecutiveWarmReportCount = 0;
  /** Whether a failure has not been followed by a probe yet. */
  #isProbeNeeded = false;

  constructor(state: BackendServerState) {
    this.#state = state === BackendServerState.Lost
      ? BackendServerState.Warming
      : state;
  }

  get state(): BackendServerState {
    return this.#state;
  }

  /** Local instant at which draining was first seen; undefined if never. */
  get drainingSeenAtMs(): number | undefined {
    return this.#drainingSeenAtMs;
  }

  /** Whether a probe should be sent at once. */
  isSuspect(nowMs: number): boolean {
    if (this.#state === BackendServerState.Lost) return false;
    return this.#isProbeNeeded || this.#isSilent(nowMs);
  }

  /** Notes that a request was sent. */
  noteSent(nowMs: number): void {
    this.#silenceStartedAtMs ??= nowMs;
  }

  /** Notes that the server answered or refused a request. */
  noteAnswer(nowMs: number, options: { readonly isIdle: boolean }): void {
    this.#lastAnswerAtMs = nowMs;
    this.#consecutiveFailureCount = 0;
    this.#consecutiveProbeFailureCount = 0;
    this.#isProbeNeeded = false;
    this.#consecutiveAnswerCount += 1;
    this.#silenceStartedAtMs = options.isIdle ? undefined : nowMs;
    if (this.#consecutiveAnswerCount >= answersUntilHoldOffReset) {
      this.#holdOffMs = firstHoldOffMs;
    }
    if (this.#state === BackendServerState.Lost) this.#recover();
  }

  /** Notes that no request waits for an answer any longer. */
  noteIdle(): void {
    this.#silenceStartedAtMs = undefined;
  }

  /** Notes that the server is warm, as its answers show. */
  noteWarm(): void {
    if (this.#state !== BackendServerState.Warming) return;
    this.#state = BackendServerState.Live;
  }

  /** Notes that a request found no connection or no answer. */
  noteFailure(nowMs: number): void {
    this.#consecutiveAnswerCount = 0;
    if (this.#consecutiveFailureCount === 0) this.#firstFailureAtMs = nowMs;
    this.#consecutiveFailureCount += 1;
    this.#isProbeNeeded = true;
    const isLongEnough = nowMs - this.#firstFailureAtMs >= failureSpanMs;
    if (this.#consecutiveFailureCount >= failuresUntilLost && isLongEnough) {
      this.#markLost(nowMs);
    }
  }

  /** Notes what the health endpoint says. */
  noteReport(report: BackendReport, nowMs: number): void {
    this.#consecutiveProbeFailureCount = 0;
    if (report.isHealthy) this.#clearSuspicion(nowMs);
    this.#consecutiveWarmReportCount = report.isWarm
      ? this.#consecutiveWarmReportCount + 1
      : 0;
    if (this.#consecutiveWarmReportCount >= warmReportsUntilLive) {
      this.noteWarm();
    }
    if (report.isDraining) this.noteDraining(nowMs);
    if (this.#state !== BackendServerState.Lost || !report.isHealthy) return;
    if (nowMs - this.#lostAtMs < this.#holdOffMs) return;
    this.#holdOffMs = Math.min(this.#holdOffMs * 2, maxHoldOffMs);
    this.#recover();
  }

  /** Notes that the health endpoint did not answer. */
  noteProbeFailure(nowMs: number): void {
    if (nowMs - this.#lastAnswerAtMs < this.#getRecentAnswerMs(nowMs)) return;
    this.#consecutiveProbeFailureCount += 1;
    this.#isProbeNeeded = true;
    const isConfirmed = this.#consecutiveFailureCount > 0 ||
      this.#isSilent(nowMs) ||
      this.#consecutiveProbeFailureCount >= probeFailuresUntilLost;
    if (isConfirmed) this.#markLost(nowMs);
  }

  /** Notes that the server leaves. */
  noteDraining(nowMs: number): void {
    this.#drainingSeenAtMs ??= nowMs;
    if (this.#state !== BackendServerState.Lost) {
      this.#state = BackendServerState.Draining;
    }
  }

  /** A healthy report ends a suspicion; longer silence raises it again. */
  #clearSuspicion(nowMs: number): void {
    this.#isProbeNeeded = false;
    if (this.#isSilent(nowMs)) this.#silenceStartedAtMs = nowMs;
  }

  /** An answer counts for less once requests after it have found none. */
  #getRecentAnswerMs(nowMs: number): number {
    const isContradicted = this.#consecutiveFailureCount > 0 ||
      this.#isSilent(nowMs);
    return isContradicted ? 0 : recentAnswerMs;
  }

  #isSilent(nowMs: number): boolean {
    return this.#silenceStartedAtMs !== undefined &&
      nowMs - this.#silenceStartedAtMs >= suspectSilenceMs;
  }

  #markLost(nowMs: number): void {
    if (this.#state === BackendServerState.Lost) return;
    this.#state = BackendServerState.Lost;
    this.#lostAtMs = nowMs;
    this.#consecutiveAnswerCount = 0;
    this.#consecutiveWarmReportCount = 0;
  }

  #recover(): void {
    this.#consecutiveFailureCount = 0;
    this.#consecutiveProbeFailureCount = 0;
    this.#isProbeNeeded = false;
    this.#silenceStartedAtMs = undefined;
    this.#state = this.#drainingSeenAtMs === undefined
      ? BackendServerState.Warming
      : BackendServerState.Draining;
  }
}
