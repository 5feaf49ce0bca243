/** The clock on top of the operating system's clocks and Node's timers. */
import { type CancelTimer, Clock } from "./clock.ts";

/** Implements `Clock`; its monotonic time is CLOCK_MONOTONIC, which advances while a signal stops the process. */
export class SystemClock extends Clock {
  override nowMs(): number {
    return performance.now();
  }

  override wallTimeMs(): number {
    return Date.now();
  }

  override sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) return resolve();
      const timer = setTimeout(finish, Math.max(0, durationMs));
      signal?.addEventListener("abort", finish, { once: true });
      function finish(): void {
        clearTimeout(timer);
        signal?.removeEventListener("abort", finish);
        resolve();
      }
    });
  }

  override after(durationMs: number, action: () => void): CancelTimer {
    const timer = setTimeout(action, Math.max(0, durationMs));
    timer.unref();
    return () => clearTimeout(timer);
  }
}
