/**
 * Handles the signals that the platform sends to the process. The handlers are
 * installed when this module is loaded, because a signal without a handler ends
 * the process immediately. Signals concern the whole process, so the object is
 * shared by all modules.
 */

/** Receives SIGTERM and SIGHUP. */
class ProcessSignals {
  /** Resolves at the first SIGTERM; later ones have no effect. */
  readonly terminated: Promise<void>;
  #reload: (() => void) | undefined;
  #isReloadPending = false;

  constructor() {
    this.terminated = new Promise((resolve) => {
      process.on("SIGTERM", () => resolve());
    });
    process.on("SIGHUP", () => {
      if (this.#reload === undefined) this.#isReloadPending = true;
      else this.#reload();
    });
  }

  /** Calls `reload` at each SIGHUP, and immediately if a SIGHUP was received before this call. */
  onReload(reload: () => void): void {
    this.#reload = reload;
    if (this.#isReloadPending) reload();
  }
}

/** The signals of this process. */
export const processSignals = new ProcessSignals();
