/** Counts tasks in progress and tells when the last one ends. */

/** A count of tasks that can be awaited. */
export class ActiveTasks {
  #count = 0;
  readonly #waiters: (() => void)[] = [];

  /** Tasks in progress. */
  get count(): number {
    return this.#count;
  }

  /** Counts a task that begins. */
  begin(): void {
    this.#count += 1;
  }

  /** Counts a task that ends. */
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
