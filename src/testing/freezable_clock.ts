/**
 * One daemon's view of the shared virtual clock. While the view is frozen, time
 * passes but the view's timers do not fire, as in a process stopped by a signal;
 * overdue timers fire at the thaw.
 */
import { type CancelTimer, Clock } from "../host/clock.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** A clock whose timers can be suspended for one owner. */
export class FreezableClock extends Clock {
  readonly #shared: VirtualClock;
  #thawed: Promise<void> | undefined;
  #resolveThawed: () => void = () => {};

  constructor(shared: VirtualClock) {
    super();
    this.#shared = shared;
  }

  override nowMs(): number {
    return this.#shared.nowMs();
  }

  override wallTimeMs(): number {
    return this.#shared.wallTimeMs();
  }

  override async sleep(
    durationMs: number,
    signal?: AbortSignal,
  ): Promise<void> {
    await this.#shared.sleep(durationMs, signal);
    await this.waitUntilThawed();
  }

  override after(durationMs: number, action: () => void): CancelTimer {
    let isCancelled = false;
    const cancel = this.#shared.after(durationMs, async () => {
      await this.waitUntilThawed();
      if (!isCancelled) action();
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /** Whether the owner is frozen. */
  isFrozen(): boolean {
    return this.#thawed !== undefined;
  }

  /** Suspends the owner's timers until `thaw`. */
  freeze(): void {
    this.#thawed ??= new Promise((resolve) => this.#resolveThawed = resolve);
  }

  /** Ends the freeze. */
  thaw(): void {
    this.#resolveThawed();
    this.#thawed = undefined;
  }

  /** Waits while the owner is frozen. */
  async waitUntilThawed(): Promise<void> {
    while (this.#thawed !== undefined) await this.#thawed;
  }
}
