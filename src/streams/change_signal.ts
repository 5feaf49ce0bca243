/** Lets tasks wait until another task reports a change. */
import type { Clock } from "../host/clock.ts";
import { DeadlineSignal } from "../host/deadline_signal.ts";

/** Wakes every task that waits. */
export class ChangeSignal {
  #waiters = new Set<() => void>();
  #count = 0;
  #sleptCount = 0;

  /** How often `notify` was called. */
  get count(): number {
    return this.#count;
  }

  /** Wakes the tasks that wait now. */
  notify(): void {
    this.#count += 1;
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
   * Resolves after `durationMs`, or as soon as `count` is no longer
   * `seenCount`, or when `signal` aborts.
   */
  async waitAtMost(
    clock: Clock,
    options: {
      readonly durationMs: number;
      readonly seenCount: number;
      readonly signal: AbortSignal;
    },
  ): Promise<void> {
    if (this.#count !== options.seenCount) return;
    const limit = new DeadlineSignal(clock, {
      atMs: clock.nowMs() + options.durationMs,
      parent: options.signal,
    });
    await this.wait(limit.signal);
    limit.dispose();
  }

  /**
   * Resolves after `durationMs`, less after a `notify` since the last sleep,
   * or when `signal` aborts. For a signal that only one task sleeps on.
   */
  async sleep(
    clock: Clock,
    options: { readonly durationMs: number; readonly signal: AbortSignal },
  ): Promise<void> {
    await this.waitAtMost(clock, { ...options, seenCount: this.#sleptCount });
    this.#sleptCount = this.#count;
  }
}
