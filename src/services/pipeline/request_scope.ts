/**
 * The lifetime of one request, which ends at its deadline or when its caller
 * disconnects, unless the pipeline ends it earlier.
 */
import { MessageCode } from "../../diagnostics/messages.ts";
import type { CancelTimer, Clock } from "../../host/clock.ts";
import { RouterError } from "../../types/errors.ts";
import type { RoutedRequest } from "../../types/types.ts";

/** Aborts its signal when the caller disconnects or the deadline passes. */
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
    this.#cancelDeadline = clock.after(remainingMs, this.#abortAtDeadline);
    callerSignal.addEventListener("abort", this.#abortForCaller, {
      once: true,
    });
    if (callerSignal.aborted) this.#abortForCaller();
  }

  /** Aborts when the caller no longer waits for the request. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Returns the time since the start of the request. */
  elapsedMs(): number {
    return this.#clock.nowMs() - this.#startedAtMs;
  }

  /** Ends the request and releases the timer and the listener; later calls have no effect. */
  end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#cancelDeadline();
    this.#callerSignal.removeEventListener("abort", this.#abortForCaller);
    this.#onEnd();
  }

  readonly #abortForCaller = (): void => {
    this.#controller.abort(this.#callerSignal.reason);
    this.end();
  };

  readonly #abortAtDeadline = (): void => {
    this.#controller.abort(
      new RouterError(MessageCode.DeadlineExceeded, "await answer"),
    );
    this.end();
  };
}
