/** Lets one task sleep until a time has passed or another task wakes it. */
import type { Clock } from "../host/clock.ts";

/** A sleep that can be cut short; a wake-up before the sleep is kept. */
export class Wakeup {
  #sleeping: AbortController | undefined;
  #isPending = false;

  /** Ends the present sleep, or makes the next one return at once. */
  wake(): void {
    if (this.#sleeping === undefined) this.#isPending = true;
    else this.#sleeping.abort();
  }

  /** Sleeps for `durationMs`, until `wake`, or until `signal` aborts. */
  async sleep(
    clock: Clock,
    durationMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (this.#isPending || signal.aborted) {
      this.#isPending = false;
      return;
    }
    const sleeping = new AbortController();
    this.#sleeping = sleeping;
    const forward = () => sleeping.abort();
    signal.addEventListener("abort", forward, { once: true });
    await clock.sleep(durationMs, sleeping.signal);
    signal.removeEventListener("abort", forward);
    this.#sleeping = undefined;
  }
}
