/** Slots behind a FIFO queue; a waiter whose signal has aborted never gets a slot. */

interface Waiter {
  readonly resolve: (isAcquired: boolean) => void;
  readonly signal: AbortSignal;
}

/** Assigns slots in the order of arrival. */
export class SlotQueue {
  readonly #waiting: Waiter[] = [];
  readonly #slotCount: () => number;
  #busyCount = 0;

  constructor(slotCount: () => number) {
    this.#slotCount = slotCount;
  }

  /** Number of slots in use. */
  get busyCount(): number {
    return this.#busyCount;
  }

  /** Number of requests that wait for a slot. */
  get queuedCount(): number {
    return this.#waiting.filter(({ signal }) => !signal.aborted).length;
  }

  /** Waits for a slot; resolves with false if the signal aborts before a slot is free. */
  acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return Promise.resolve(false);
    if (this.#busyCount < this.#slotCount()) {
      this.#busyCount += 1;
      return Promise.resolve(true);
    }
    return new Promise((resolve) => {
      this.#waiting.push({ resolve, signal });
      signal.addEventListener("abort", () => resolve(false), { once: true });
    });
  }

  /** Frees a slot and assigns free slots to the next waiters. */
  release(): void {
    this.#busyCount -= 1;
    while (this.#busyCount < this.#slotCount()) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      if (next.signal.aborted) continue;
      this.#busyCount += 1;
      next.resolve(true);
    }
  }
}
