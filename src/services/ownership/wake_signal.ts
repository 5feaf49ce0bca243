/** Lets one task sleep until an interval passes or another task wakes it. */
import type { Clock } from "../../host/clock.ts";

/** A sleep that can be cut short. */
export class WakeSignal {
  #isSet = false;
  #wake: (() => void) | undefined;

  /** Ends the present sleep, or the next one if nobody sleeps. */
  set(): void {
    this.#isSet = true;
    this.#wake?.();
  }

  /** Sleeps for `durationMs`, less when woken or when `signal` aborts. */
  async sleep(
    clock: Clock,
    durationMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (!this.#isSet && !signal.aborted) {
      const woken = new AbortController();
      this.#wake = () => woken.abort();
      await clock.sleep(durationMs, AbortSignal.any([signal, woken.signal]));
      this.#wake = undefined;
    }
    this.#isSet = false;
  }
}
