/**
 * Gives up attempts whose home has changed and does not answer, so that they
 * need not wait for a daemon that is frozen or gone.
 */
import { AbortCause, type DeadlineSignal } from "../../host/deadline_signal.ts";
import type { Clock } from "../../host/clock.ts";
import type { DaemonId, ServiceAssignment } from "../../types/types.ts";
import type { Ownership } from "../ownership/ownership.ts";

/** Time in which a former home may still answer, in milliseconds. */
const formerHomeGraceMs = 500;

/** An attempt that waits for its home's answer. */
export interface WatchedAttempt {
  readonly service: string;
  readonly key: string;
  readonly homeDaemonId: DaemonId;
  readonly abort: DeadlineSignal;
}

/** The attempts that this daemon has forwarded. */
export class HomeWatch {
  readonly #clock: Clock;
  readonly #ownership: Ownership;
  readonly #attempts = new Set<WatchedAttempt>();

  constructor(clock: Clock, ownership: Ownership) {
    this.#clock = clock;
    this.#ownership = ownership;
  }

  /** Watches an attempt until `remove`. */
  add(attempt: WatchedAttempt): void {
    this.#attempts.add(attempt);
  }

  /** Ends the watch. */
  remove(attempt: WatchedAttempt): void {
    this.#attempts.delete(attempt);
  }

  /** Gives up, after a grace, what waits for a former home. */
  noteAssignment({ service }: ServiceAssignment): void {
    for (const attempt of this.#attempts) {
      if (attempt.service !== service || !this.#hasNewHome(attempt)) continue;
      this.#clock.after(formerHomeGraceMs, () => {
        if (this.#attempts.has(attempt)) attempt.abort.abort(AbortCause.Moved);
      });
    }
  }

  #hasNewHome({ service, key, homeDaemonId }: WatchedAttempt): boolean {
    const located = this.#ownership.locate(service, key);
    return located.isOk() &&
      located.value.server.homeDaemonId !== homeDaemonId;
  }
}
