/**
 * An abort signal that aborts with any of its parents or after a timeout.
 * Unlike `AbortSignal.any` over `AbortSignal.timeout`, it cannot be garbage
 * collected before the timeout.
 */

export interface LimitedSignalOptions {
  readonly parents: readonly AbortSignal[];
  /** No timeout when omitted. */
  readonly timeoutMs?: number;
}

/** An abort signal with a timeout; call `dispose` when nothing waits for it any more. */
export class LimitedSignal {
  readonly #controller = new AbortController();
  readonly #parents: readonly AbortSignal[];
  readonly #timer: NodeJS.Timeout | undefined;
  readonly #abort = () => this.#controller.abort();

  constructor({ parents, timeoutMs }: LimitedSignalOptions) {
    this.#parents = parents;
    for (const parent of parents) {
      if (parent.aborted) this.#abort();
      parent.addEventListener("abort", this.#abort);
    }
    this.#timer = timeoutMs === undefined
      ? undefined
      : setTimeout(this.#abort, timeoutMs);
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Cancels the timer and removes the listeners from the parents. */
  dispose(): void {
    clearTimeout(this.#timer);
    for (const parent of this.#parents) {
      parent.removeEventListener("abort", this.#abort);
    }
  }
}
