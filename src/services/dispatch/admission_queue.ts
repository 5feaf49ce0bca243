/**
 * The requests of one daemon that wait for room at the same servers, in order
 * of class and then of the time that their callers have left. Answers bursts in
 * which many requests wait: room goes to the most urgent one, and only as many
 * requests select a server again as there may be room for.
 */
import type { Clock } from "../../host/clock.ts";

/** What decides about the order of requests. */
export interface Urgency {
  /** The class of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic instant until which the caller waits, retries included. */
  readonly callerDeadlineAtMs: number;
}

interface Waiter {
  readonly urgency: Urgency;
  readonly wake: () => void;
}

/** Negative when `a` is served before `b`. */
function compareUrgency(a: Urgency, b: Urgency): number {
  return a.priority - b.priority ||
    a.callerDeadlineAtMs - b.callerDeadlineAtMs;
}

/** A queue in order of urgency. */
export class AdmissionQueue {
  readonly #waiters: Waiter[] = [];

  get size(): number {
    return this.#waiters.length;
  }

  /** Number of waiting requests that are served before a request that joins now. */
  countAhead(urgency: Urgency): number {
    const index = this.#waiters
      .findIndex((waiter) => compareUrgency(waiter.urgency, urgency) > 0);
    return index < 0 ? this.#waiters.length : index;
  }

  /** Wakes the most urgent request, which leaves the queue. */
  wakeFirst(): void {
    this.#waiters[0]?.wake();
  }

  /** Waits to be woken, until an instant, or until `signal` aborts. */
  wait(clock: Clock, urgency: Urgency, options: {
    readonly untilMs: number;
    readonly signal: AbortSignal;
  }): Promise<void> {
    const { untilMs, signal } = options;
    return new Promise((resolve) => {
      if (signal.aborted) return resolve();
      const waiters = this.#waiters;
      const waiter = { urgency, wake };
      const cancelTimer = clock.after(untilMs - clock.nowMs(), wake);
      signal.addEventListener("abort", wake, { once: true });
      waiters.splice(this.countAhead(urgency), 0, waiter);
      function wake(): void {
        cancelTimer();
        signal.removeEventListener("abort", wake);
        waiters.splice(waiters.indexOf(waiter), 1);
        resolve();
      }
    });
  }
}
