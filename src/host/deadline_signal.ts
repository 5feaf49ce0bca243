/**
 * Aborts at an instant of the daemon's clock, with a parent signal, or on
 * request, whichever comes first, and remembers which one it was.
 */
import type { Clock } from "./clock.ts";

/** Why a `DeadlineSignal` aborted. */
export enum AbortCause {
  Cancelled = "cancelled",
  Deadline = "deadline",
  Moved = "moved",
  Stopped = "stopped",
}

/** What may abort a `DeadlineSignal`. */
export interface DeadlineSignalOptions {
  /** Local monotonic instant. */
  readonly atMs: number;
  /** Aborts this signal with cause `Cancelled`. */
  readonly parent?: AbortSignal;
}

/** An abort signal with a deadline and a cause. */
export class DeadlineSignal {
  readonly #controller = new AbortController();
  readonly #release: () => void;
  #cause: AbortCause | undefined;
  #aborted: Promise<void> | undefined;

  constructor(clock: Clock, { atMs, parent }: DeadlineSignalOptions) {
    const cancelTimer = clock.after(
      atMs - clock.nowMs(),
      () => this.abort(AbortCause.Deadline),
    );
    const onParent = () => this.abort(AbortCause.Cancelled);
    parent?.addEventListener("abort", onParent, { once: true });
    this.#release = () => {
      cancelTimer();
      parent?.removeEventListener("abort", onParent);
    };
    if (parent?.aborted === true) onParent();
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Why the signal aborted; undefined while it has not. */
  get cause(): AbortCause | undefined {
    return this.#cause;
  }

  /** Resolves when the signal aborts. */
  get aborted(): Promise<void> {
    this.#aborted ??= waitForAbort(this.signal);
    return this.#aborted;
  }

  /** Aborts now; later calls have no effect. */
  abort(cause: AbortCause): void {
    if (this.#cause !== undefined) return;
    this.#cause = cause;
    this.#release();
    this.#controller.abort();
  }

  /** Releases the timer and the parent; the signal does not abort by itself. */
  dispose(): void {
    this.#release();
  }
}

/** Resolves when `signal` aborts. */
export function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
}
