/**
 * Aborts forwarded attempts whose home has been replaced and does not answer,
 * so that they do not wait for a daemon that is suspended or has failed.
 */
import { AbortCause, type DeadlineSignal } from "../../host/deadline_signal.ts";
import type { Clock } from "../../host/clock.ts";
import type { DaemonId, ServiceAssignment } from "../../types/types.ts";
import type { Ownership } from "../ownership/ownership.ts";

/** Time for which a former home may still answer. */
const formerHomeGraceMs = 500;

/** A forwarded attempt that waits for the answer of its home. */
export interface WatchedAttempt {
  readonly service: string;
  readonly key: string;
  readonly homeDaemonId: DaemonId;
  readonly forwardDeadline: DeadlineSignal;
}

/** Tracks the attempts that this daemon has forwarded. */
export class HomeWatch {
  readonly #clock: Clock;
  readonly #ownership: Ownership;
  readonly #attempts = new Set<WatchedAttempt>();

  constructor(clock: Clock, ownership: Ownership) {
    this.#clock = clock;
    this.#ownership = ownership;
  }

  add(attempt: WatchedAttempt): void {
    this.#attempts.add(attempt);
  }

  remove(attempt: WatchedAttempt): void {
    this.#attempts.delete(attempt);
  }

  /** Aborts, after a grace period, the attempts that wait for a former home. */
  noteAssignment({ service }: ServiceAssignment): void {
    for (const attempt of this.#attempts) {
      if (attempt.service !== service || !this.#hasNewHome(attempt)) continue;
      this.#clock.after(formerHomeGraceMs, () => {
        if (this.#attempts.has(attempt)) {
          attempt.forwardDeadline.abort(AbortCause.Moved);
        }
      });
    }
  }

  #hasNewHome({ service, key, homeDaemonId }: WatchedAttempt): boolean {
    const located = this.#ownership.locate(service, key);
    return located.isOk() &&
      located.value.server.homeDaemonId !== homeDaemonId;
  }
}
