/**
 * One daemon's view of the shared virtual clock. While frozen, its timers do
 * not fire, as in a process stopped by a signal; on thaw it finds that time
 * has passed.
 */
import { type CancelTimer, Clock } from "../host/clock.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** A clock that can stand still for its owner. */
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
    await this.gate();
  }

  override after(durationMs: number, action: () => void): CancelTimer {
    let isCancelled = false;
    const cancel = this.#shared.after(durationMs, async () => {
      await this.gate();
      if (!isCancelled) action();
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /** Whether the owner stands still. */
  isFrozen(): boolean {
    return this.#thawed !== undefined;
  }

  /** Stops the owner until `thaw`. */
  freeze(): void {
    this.#thawed ??= new Promise((resolve) => this.#resolveThawed = resolve);
  }

  /** Lets the owner go on. */
  thaw(): void {
    this.#resolveThawed();
    this.#thawed = undefined;
  }

  /** Waits while the owner is frozen. */
  async gate(): Promise<void> {
    while (this.#thawed !== undefined) await this.#thawed;
  }
}
