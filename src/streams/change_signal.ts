/** Lets tasks wait until another task reports a change. */
import type { Clock } from "../host/clock.ts";
import { DeadlineSignal } from "../host/deadline_signal.ts";

/** Wakes all waiting tasks at each notification. */
export class ChangeSignal {
  #waiters = new Set<() => void>();
  #notifyCount = 0;
  #countAtLastSleep = 0;

  /** Number of calls of `notify`; pass it to `waitAtMost` as `seenCount`. */
  get notifyCount(): number {
    return this.#notifyCount;
  }

  /** Wakes the tasks that are waiting. */
  notify(): void {
    this.#notifyCount += 1;
    const waiters = this.#waiters;
    this.#waiters = new Set();
    for (const wake of waiters) wake();
  }

  /** Resolves at the next `notify`, or when `signal` aborts. */
  wait(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal.aborted) return resolve();
      const waiters = this.#waiters;
      function wake(): void {
        waiters.delete(wake);
        signal.removeEventListener("abort", wake);
        resolve();
      }
      waiters.add(wake);
      signal.addEventListener("abort", wake, { once: true });
    });
  }

  /**
   * Resolves after `durationMs`, when `signal` aborts, or as soon as
   * `notifyCount` differs from `seenCount`.
   */
  async waitAtMost(
    clock: Clock,
    options: {
      readonly durationMs: number;
      readonly seenCount: number;
      readonly signal: AbortSignal;
    },
  ): Promise<void> {
    if (this.#notifyCount !== options.seenCount) return;
    const limit = new DeadlineSignal(clock, {
      atMs: clock.nowMs() + options.durationMs,
      parent: options.signal,
    });
    await this.wait(limit.signal);
    limit.dispose();
  }

  /**
   * Resolves after `durationMs`, when `signal` aborts, or as soon as `notify`
   * has been called since the previous `sleep` ended. Only one task may sleep
   * on a signal, because the end of the previous sleep is kept per signal.
   */
  async sleep(
    clock: Clock,
    options: { readonly durationMs: number; readonly signal: AbortSignal },
  ): Promise<void> {
    await this.waitAtMost(clock, {
      ...options,
      seenCount: this.#countAtLastSleep,
    });
    this.#countAtLastSleep = this.#notifyCount;
  }
}
