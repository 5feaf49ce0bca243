/** The life of one request: its instants, and a signal for its end. */
import { MessageCode } from "../../diagnostics/messages.ts";
import type { CancelTimer, Clock } from "../../host/clock.ts";
import { RouterError } from "../../types/errors.ts";
import type { RoutedRequest } from "../../types/types.ts";

/** Aborts its signal when the caller goes away or the deadline passes. */
export class RequestScope {
  readonly #clock: Clock;
  readonly #controller = new AbortController();
  readonly #callerSignal: AbortSignal;
  readonly #startedAtMs: number;
  readonly #cancelDeadline: CancelTimer;
  readonly #onEnd: () => void;
  #hasEnded = false;

  constructor(
    clock: Clock,
    request: RoutedRequest,
    options: { readonly callerSignal: AbortSignal; readonly onEnd: () => void },
  ) {
    const { callerSignal } = options;
    this.#clock = clock;
    this.#callerSignal = callerSignal;
    this.#onEnd = options.onEnd;
    this.#startedAtMs = clock.nowMs();
    const remainingMs = request.deadlineAtMs - this.#startedAtMs;
    this.#cancelDeadline = clock.after(remainingMs, this.#passDeadline);
    callerSignal.addEventListener("abort", this.#cancel, { once: true });
    if (callerSignal.aborted) this.#cancel();
  }

  /** Aborts when the request has no further use. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Time since the request began, in milliseconds. */
  elapsedMs(): number {
    return this.#clock.nowMs() - this.#startedAtMs;
  }

  /** Releases the timer and the listener; later calls have no effect. */
  end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#cancelDeadline();
    this.#callerSignal.removeEventListener("abort", this.#cancel);
    this.#onEnd();
  }

  readonly #cancel = (): void => {
    this.#controller.abort(this.#callerSignal.reason);
    this.end();
  };

  readonly #passDeadline = (): void => {
    this.#controller.abort(
      new RouterError(MessageCode.DeadlineExceeded, "await answer"),
    );
    this.end();
  };
}
