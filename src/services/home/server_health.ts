/**
 * Determines the state of one backend server. The results of requests take
 * precedence over the health endpoint: a server that answers requests is not
 * lost when a health check fails, and a server that answers no requests is lost
 * even when its health checks report it as healthy.
 */
import { BackendServerState } from "../../types/enums.ts";
import type { BackendReport } from "../../host/backend_transport.ts";

/** Failed health checks are ignored for this time after an answer. */
const recentAnswerMs = 1_000;
/** A server is suspect when it answers no request for this time. */
const suspectSilenceMs = 250;
/** Consecutive failures that make a server lost regardless of its health checks. */
const failuresUntilLost = 3;
/** Consecutive failures count only when they span at least this time. */
const failureSpanMs = 600;
/** Consecutive failed health checks that make an idle server lost. */
const healthCheckFailuresUntilLost = 2;
/**
 * Successful health checks of a lost server are ignored for this time; it
 * doubles with each recovery by a health check.
 */
const firstHoldOffMs = 500;
const maxHoldOffMs = 8_000;
/** Consecutive answers after which the hold-off of a server is reset. */
const answersUntilHoldOffReset = 8;
/** Consecutive warm reports that make a warming server live without traffic. */
const minWarmReportCount = 2;

/** Tracks answers, failures and health checks of one server and derives its state. */
export class ServerHealth {
  #state: BackendServerState;
  #lastAnswerAtMs = Number.NEGATIVE_INFINITY;
  #consecutiveAnswerCount = 0;
  #consecutiveFailureCount = 0;
  #firstFailureAtMs = 0;
  #consecutiveHealthCheckFailureCount = 0;
  #silenceStartedAtMs: number | undefined;
  #lostAtMs = 0;
  #holdOffMs = firstHoldOffMs;
  #drainingSeenAtMs: number | undefined;
  #consecutiveWarmReportCount = 0;
  /**
   * Whether a failure has not been followed by an answer or a healthy report
   * yet.
   */
  #isHealthCheckNeeded = false;

  constructor(state: BackendServerState) {
    this.#state = state === BackendServerState.Lost
      ? BackendServerState.Warming
      : state;
  }

  get state(): BackendServerState {
    return this.#state;
  }

  /**
   * Local instant at which draining was first observed; undefined when it never
   * was.
   */
  get drainingSeenAtMs(): number | undefined {
    return this.#drainingSeenAtMs;
  }

  /** Whether the server must be checked at the short interval. */
  isSuspect(nowMs: number): boolean {
    if (this.#state === BackendServerState.Lost) return false;
    return this.#isHealthCheckNeeded || this.#isSilent(nowMs);
  }

  /** Records that a request was sent. */
  noteSent(nowMs: number): void {
    this.#silenceStartedAtMs ??= nowMs;
  }

  /** Records that the server answered or refused a request. */
  noteAnswer(nowMs: number, options: { readonly isIdle: boolean }): void {
    this.#lastAnswerAtMs = nowMs;
    this.#consecutiveFailureCount = 0;
    this.#consecutiveHealthCheckFailureCount = 0;
    this.#isHealthCheckNeeded = false;
    this.#consecutiveAnswerCount += 1;
    this.#silenceStartedAtMs = options.isIdle ? undefined : nowMs;
    if (this.#consecutiveAnswerCount >= answersUntilHoldOffReset) {
      this.#holdOffMs = firstHoldOffMs;
    }
    if (this.#state === BackendServerState.Lost) this.#recover();
  }

  /** Records that no request is waiting for an answer. */
  noteIdle(): void {
    this.#silenceStartedAtMs = undefined;
  }

  /** Records that the server has warmed up. */
  noteWarm(): void {
    if (this.#state !== BackendServerState.Warming) return;
    this.#state = BackendServerState.Live;
  }

  /** Records that a request got no connection or no answer. */
  noteFailure(nowMs: number): void {
    this.#consecutiveAnswerCount = 0;
    if (this.#consecutiveFailureCount === 0) this.#firstFailureAtMs = nowMs;
    this.#consecutiveFailureCount += 1;
    this.#isHealthCheckNeeded = true;
    const isLongEnough = nowMs - this.#firstFailureAtMs >= failureSpanMs;
    if (this.#consecutiveFailureCount >= failuresUntilLost && isLongEnough) {
      this.#markLost(nowMs);
    }
  }

  /** Records a response of the health endpoint. */
  noteReport(report: BackendReport, nowMs: number): void {
    this.#consecutiveHealthCheckFailureCount = 0;
    if (report.isHealthy) this.#clearSuspicion(nowMs);
    this.#consecutiveWarmReportCount = report.isWarm
      ? this.#consecutiveWarmReportCount + 1
      : 0;
    if (this.#consecutiveWarmReportCount >= minWarmReportCount) this.noteWarm();
    if (report.isDraining) this.noteDraining(nowMs);
    if (this.#state !== BackendServerState.Lost || !report.isHealthy) return;
    if (nowMs - this.#lostAtMs < this.#holdOffMs) return;
    this.#holdOffMs = Math.min(this.#holdOffMs * 2, maxHoldOffMs);
    this.#recover();
  }

  /** Records that the health endpoint did not respond. */
  noteHealthCheckFailure(nowMs: number): void {
    if (nowMs - this.#lastAnswerAtMs < this.#getRecentAnswerMs(nowMs)) return;
    this.#consecutiveHealthCheckFailureCount += 1;
    this.#isHealthCheckNeeded = true;
    const isConfirmed = this.#consecutiveFailureCount > 0 ||
      this.#isSilent(nowMs) ||
      this.#consecutiveHealthCheckFailureCount >= healthCheckFailuresUntilLost;
    if (isConfirmed) this.#markLost(nowMs);
  }

  /** Records that the server is draining. */
  noteDraining(nowMs: number): void {
    this.#drainingSeenAtMs ??= nowMs;
    if (this.#state !== BackendServerState.Lost) {
      this.#state = BackendServerState.Draining;
    }
  }

  /** Ends the suspicion and restarts the measurement of silence. */
  #clearSuspicion(nowMs: number): void {
    this.#isHealthCheckNeeded = false;
    if (this.#isSilent(nowMs)) this.#silenceStartedAtMs = nowMs;
  }

  /**
   * The time for which the last answer outweighs failed health checks; zero when
   * later requests have failed or the server is silent.
   */
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
    this.#consecutiveHealthCheckFailureCount = 0;
    this.#isHealthCheckNeeded = false;
    this.#silenceStartedAtMs = undefined;
    this.#state = this.#drainingSeenAtMs === undefined
      ? BackendServerState.Warming
      : BackendServerState.Draining;
  }
}
