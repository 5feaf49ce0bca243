/**
 * Decides what becomes of a request for which every server that may run it is
 * full: it waits in the queue, until when, or it is refused at once. Answers a
 * load that exceeds the room of a service, or of the owner of a busy key, for
 * moments or for long: waiting pays only if room comes soon, and a caller that
 * is refused early has most of its time left to return. A refusal therefore
 * comes within an eighth of the objective. This module does no I/O.
 */

/** Fraction of the objective up to which a refused request may have waited. */
const maxWaitFraction = 1 / 8;
/** Requests for which room must be expected, beyond those ahead in the queue. */
const minExpectedRoom = 0.5;

/** Why a request is refused for lack of room. */
export enum AdmissionRefusal {
  /** No room is expected while an answer can still come within the objective. */
  NoRoomExpected = "no-room-expected",
  /** Room is expected, but the requests ahead need it. */
  OthersAhead = "others-ahead",
  /** The request has waited as long as it may. */
  WaitEnded = "wait-ended",
  /** An answer would come after the deadline. */
  TooLate = "too-late",
}

/** What is expected of the servers that may run a request. */
export interface RoomForecast {
  /** Requests of this daemon for which there will be room, at an instant. */
  roomCountAt(atMs: number): number;
  /** Expected service time of one request. */
  readonly serviceMs: number;
}

export type AdmissionDecision =
  | { readonly queuedUntilMs: number }
  | { readonly refusal: AdmissionRefusal };

/** Decides about a request for which there is no room now. */
export function decideAdmission(options: {
  readonly nowMs: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly objectiveMs: number;
  /** Requests in the queue that are served before this one. */
  readonly aheadCount: number;
  readonly forecast: RoomForecast;
}): AdmissionDecision {
  const { nowMs, arrivedAtMs, deadlineAtMs, objectiveMs } = options;
  const { aheadCount, forecast } = options;
  const latestStartMs = deadlineAtMs - forecast.serviceMs;
  if (nowMs >= latestStartMs) return { refusal: AdmissionRefusal.TooLate };
  const queuedUntilMs = Math.min(
    arrivedAtMs + objectiveMs * maxWaitFraction,
    latestStartMs,
  );
  if (nowMs >= queuedUntilMs) return { refusal: AdmissionRefusal.WaitEnded };
  const latestTimelyStartMs = Math.min(
    latestStartMs,
    Math.max(queuedUntilMs, arrivedAtMs + objectiveMs - forecast.serviceMs),
  );
  if (forecast.roomCountAt(latestTimelyStartMs) < minExpectedRoom) {
    return { refusal: AdmissionRefusal.NoRoomExpected };
  }
  // Room may come sooner than forecast, but not for several requests.
  const mustShare = aheadCount > 0 &&
    forecast.roomCountAt(queuedUntilMs) < aheadCount + minExpectedRoom;
  return mustShare
    ? { refusal: AdmissionRefusal.OthersAhead }
    : { queuedUntilMs };
}
