/**
 * An abort signal that ends with any of its parents, or after a time. Unlike
 * `AbortSignal.any` over `AbortSignal.timeout`, it cannot be collected as
 * garbage before its time is up.
 */

/** What ends the signal. */
export interface LimitedSignalOptions {
  readonly parents: readonly AbortSignal[];
  /** No limit when omitted. */
  readonly timeoutMs?: number;
}

/** A signal that has to be disposed of when it is no longer waited on. */
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

  /** Aborts with the first of the parents, or after the time. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Lets go of the parents and of the timer. */
  dispose(): void {
    clearTimeout(this.#timer);
    for (const parent of this.#parents) {
      parent.removeEventListener("abort", this.#abort);
    }
  }
}
