/**
 * An abort signal that aborts at a deadline, together with a parent signal, or
 * when `abort` is called, whichever comes first, and records the cause.
 */
import type { Clock } from "./clock.ts";

/** Why a `DeadlineSignal` aborted. */
export enum AbortCause {
  Cancelled = "cancelled",
  Deadline = "deadline",
  /** The shard or the home of the backend server has moved. */
  Moved = "moved",
  Stopped = "stopped",
}

export interface DeadlineSignalOptions {
  /** The deadline, in monotonic time of the daemon's clock. */
  readonly atMs: number;
  /** Aborts this signal with cause `Cancelled`. */
  readonly parent?: AbortSignal;
}

/** An abort signal with a deadline; records why it aborted. */
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
    const onParentAbort = () => this.abort(AbortCause.Cancelled);
    parent?.addEventListener("abort", onParentAbort, { once: true });
    this.#release = () => {
      cancelTimer();
      parent?.removeEventListener("abort", onParentAbort);
    };
    if (parent?.aborted === true) onParentAbort();
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Why the signal aborted; undefined before that. */
  get cause(): AbortCause | undefined {
    return this.#cause;
  }

  /** Resolves when the signal aborts. */
  get aborted(): Promise<void> {
    this.#aborted ??= waitForAbort(this.signal);
    return this.#aborted;
  }

  /** Aborts the signal; later calls have no effect. */
  abort(cause: AbortCause): void {
    if (this.#cause !== undefined) return;
    this.#cause = cause;
    this.#release();
    this.#controller.abort();
  }

  /** Releases the timer and the parent; afterwards only `abort` aborts the signal. */
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
