/**
 * Virtual time for tests. Time passes only in `advance`, which fires the timers
 * in order and lets every task run until it waits again.
 */
import TinyQueue from "tinyqueue";
import { type CancelTimer, Clock } from "../host/clock.ts";

interface Timer {
  readonly dueAtMs: number;
  readonly sequence: number;
  readonly action: () => void;
  isCancelled: boolean;
}

const settleTurnCount = 3;

/** A clock that the test advances. */
export class VirtualClock extends Clock {
  #nowMs = 0;
  #sequence = 0;
  readonly #wallStartAtMs: number;
  readonly #timers = new TinyQueue<Timer>(
    [],
    (a, b) => a.dueAtMs - b.dueAtMs || a.sequence - b.sequence,
  );

  constructor(wallStartAtMs = 1_800_000_000_000) {
    super();
    this.#wallStartAtMs = wallStartAtMs;
  }

  override nowMs(): number {
    return this.#nowMs;
  }

  override wallTimeMs(): number {
    return this.#wallStartAtMs + this.#nowMs;
  }

  override sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) return resolve();
      const cancel = this.after(durationMs, finish);
      signal?.addEventListener("abort", finish, { once: true });
      function finish(): void {
        cancel();
        signal?.removeEventListener("abort", finish);
        resolve();
      }
    });
  }

  override after(durationMs: number, action: () => void): CancelTimer {
    const timer: Timer = {
      dueAtMs: this.#nowMs + Math.max(0, durationMs),
      sequence: this.#sequence++,
      action,
      isCancelled: false,
    };
    this.#timers.push(timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  /** Advances the time, firing each timer at its instant. */
  async advance(durationMs: number): Promise<void> {
    const endsAtMs = this.#nowMs + durationMs;
    await settle();
    for (;;) {
      const next = this.#timers.peek();
      if (next === undefined || next.dueAtMs > endsAtMs) break;
      this.#timers.pop();
      if (next.isCancelled) continue;
      this.#nowMs = next.dueAtMs;
      next.action();
      await settle();
    }
    this.#nowMs = endsAtMs;
    await settle();
  }
}

/** Lets every runnable task proceed until it waits. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < settleTurnCount; turn++) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}
