/** Counts the tasks in progress, so that a drain can wait for their end. */

/** The number of tasks in progress; lets callers wait until it is zero. */
export class ActiveTasks {
  #count = 0;
  readonly #waiters: (() => void)[] = [];

  get count(): number {
    return this.#count;
  }

  begin(): void {
    this.#count += 1;
  }

  end(): void {
    this.#count -= 1;
    if (this.#count > 0) return;
    for (const resolve of this.#waiters.splice(0)) resolve();
  }

  /** Resolves when no task is in progress. */
  waitUntilIdle(): Promise<void> {
    if (this.#count === 0) return Promise.resolve();
    return new Promise((resolve) => this.#waiters.push(resolve));
  }
}
