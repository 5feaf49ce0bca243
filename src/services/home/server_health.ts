/**
 * Judges one backend server. What requests show outweighs what its health
 * endpoint says: a server that answers requests is not lost when a probe
 * fails, and one that answers none is lost however healthy it claims to be.
 */
import { BackendServerState } from "../../types/enums.ts";
import type { BackendReport } from "../../host/backend_transport.ts";

/** An answer this recent outweighs failed probes, in milliseconds. */
const answerFreshMs = 1_000;
/** Requests that wait this long for any answer raise a suspicion. */
const silenceSuspectMs = 250;
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
const answersUntilTrusted = 8;
/** Reports of a warm server in a row that make it live without traffic. */
const warmReportsUntilLive = 2;

/** The state of one server and the evidence behind it. */
export class ServerHealth {
  #state: BackendServerState;
  #lastAnswerAtMs = Number.NEGATIVE_INFINITY;
  #answersInRow = 0;
  #failuresInRow = 0;
  #firstFailureAtMs = 0;
  #probeFailuresInRow = 0;
  #silentSinceMs: number | undefined;
  #lostAtMs = 0;
  #holdOffMs = firstHoldOffMs;
  #drainingSinceMs: number | undefined;
  #warmReportsInRow = 0;
  /** Whether a failure has not been followed by a probe yet. */
  #isFailureUnchecked = false;

  constructor(state: BackendServerState) {
    this.#state = state === BackendServerState.Lost
      ? BackendServerState.Warming
      : state;
  }

  get state(): BackendServerState {
    return this.#state;
  }

  /** Local instant at which draining was first seen; undefined if never. */
  get drainingSinceMs(): number | undefined {
    return this.#drainingSinceMs;
  }

  /** Whether a probe should be sent at once. */
  isSuspect(nowMs: number): boolean {
    if (this.#state === BackendServerState.Lost) return false;
    return this.#isFailureUnchecked || this.#isSilent(nowMs);
  }

  /** Notes that a request was sent. */
  noteSent(nowMs: number): void {
    this.#silentSinceMs ??= nowMs;
  }

  /** Notes that the server answered or refused a request. */
  noteAnswer(nowMs: number, options: { readonly isIdle: boolean }): void {
    this.#lastAnswerAtMs = nowMs;
    this.#failuresInRow = 0;
    this.#probeFailuresInRow = 0;
    this.#isFailureUnchecked = false;
    this.#answersInRow += 1;
    this.#silentSinceMs = options.isIdle ? undefined : nowMs;
    if (this.#answersInRow >= answersUntilTrusted) {
      this.#holdOffMs = firstHoldOffMs;
    }
    if (this.#state === BackendServerState.Lost) this.#recover();
  }

  /** Notes that no request waits for an answer any longer. */
  noteIdle(): void {
    this.#silentSinceMs = undefined;
  }

  /** Notes that the server is warm, as its answers show. */
  noteWarm(): void {
    if (this.#state !== BackendServerState.Warming) return;
    this.#state = BackendServerState.Live;
  }

  /** Notes that a request found no connection or no answer. */
  noteFailure(nowMs: number): void {
    this.#answersInRow = 0;
    if (this.#failuresInRow === 0) this.#firstFailureAtMs = nowMs;
    this.#failuresInRow += 1;
    this.#isFailureUnchecked = true;
    const isLongEnough = nowMs - this.#firstFailureAtMs >= failureSpanMs;
    if (this.#failuresInRow >= failuresUntilLost && isLongEnough) {
      this.#lose(nowMs);
    }
  }

  /** Notes what the health endpoint says. */
  noteReport(report: BackendReport, nowMs: number): void {
    this.#probeFailuresInRow = 0;
    if (report.isHealthy) this.#settleSuspicion(nowMs);
    this.#warmReportsInRow = report.isWarm ? this.#warmReportsInRow + 1 : 0;
    if (this.#warmReportsInRow >= warmReportsUntilLive) this.noteWarm();
    if (report.isDraining) this.noteDraining(nowMs);
    if (this.#state !== BackendServerState.Lost || !report.isHealthy) return;
    if (nowMs - this.#lostAtMs < this.#holdOffMs) return;
    this.#holdOffMs = Math.min(this.#holdOffMs * 2, maxHoldOffMs);
    this.#recover();
  }

  /** Notes that the health endpoint did not answer. */
  noteProbeFailure(nowMs: number): void {
    if (nowMs - this.#lastAnswerAtMs < this.#freshnessMs(nowMs)) return;
    this.#probeFailuresInRow += 1;
    this.#isFailureUnchecked = true;
    const isConfirmed = this.#failuresInRow > 0 || this.#isSilent(nowMs) ||
      this.#probeFailuresInRow >= probeFailuresUntilLost;
    if (isConfirmed) this.#lose(nowMs);
  }

  /** Notes that the server leaves. */
  noteDraining(nowMs: number): void {
    this.#drainingSinceMs ??= nowMs;
    if (this.#state !== BackendServerState.Lost) {
      this.#state = BackendServerState.Draining;
    }
  }

  /** A healthy report ends a suspicion; longer silence raises it again. */
  #settleSuspicion(nowMs: number): void {
    this.#isFailureUnchecked = false;
    if (this.#isSilent(nowMs)) this.#silentSinceMs = nowMs;
  }

  /** An answer counts for less once requests after it have found none. */
  #freshnessMs(nowMs: number): number {
    const isContradicted = this.#failuresInRow > 0 || this.#isSilent(nowMs);
    return isContradicted ? 0 : answerFreshMs;
  }

  #isSilent(nowMs: number): boolean {
    return this.#silentSinceMs !== undefined &&
      nowMs - this.#silentSinceMs >= silenceSuspectMs;
  }

  #lose(nowMs: number): void {
    if (this.#state === BackendServerState.Lost) return;
    this.#state = BackendServerState.Lost;
    this.#lostAtMs = nowMs;
    this.#answersInRow = 0;
    this.#warmReportsInRow = 0;
  }

  #recover(): void {
    this.#failuresInRow = 0;
    this.#probeFailuresInRow = 0;
    this.#isFailureUnchecked = false;
    this.#silentSinceMs = undefined;
    this.#state = this.#drainingSinceMs === undefined
      ? BackendServerState.Warming
      : BackendServerState.Draining;
  }
}
