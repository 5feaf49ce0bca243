/**
 * Decides when the requests of one caller's connection are dispatched, and when
 * the connection is read, for callers that pipeline many requests and read
 * little or nothing. Does no I/O.
 */

/** Requests of one connection that are dispatched at a time. */
const maxDispatchedRequests = 32;
/** With more unread bytes of answers, no further request of the connection is dispatched. */
const maxUnreadBytes = 2 * 1_048_576;

/** The order of the requests of one connection. */
export class RequestTurns {
  readonly #unreadBytes: () => number;
  readonly #waiting: (() => void)[] = [];
  #dispatchedCount = 0;

  /** `unreadBytes` returns what the caller has not taken of earlier answers. */
  constructor(unreadBytes: () => number) {
    this.#unreadBytes = unreadBytes;
  }

  /** Whether the connection should not be read, since requests wait for their turn. */
  get isFull(): boolean {
    return this.#waiting.length > 0;
  }

  /** Resolves when the next request may be dispatched; its turn lasts until `end`. */
  async next(): Promise<void> {
    if (this.#waiting.length > 0 || !this.#hasRoom()) {
      return await new Promise((resolve) => this.#waiting.push(resolve));
    }
    this.#dispatchedCount += 1;
  }

  /** Ends the turn of a request. */
  end(): void {
    this.#dispatchedCount -= 1;
    while (this.#waiting.length > 0 && this.#hasRoom()) {
      this.#dispatchedCount += 1;
      this.#waiting.shift()!();
    }
  }

  /** Lets all requests go, since the connection has ended. */
  endAll(): void {
    for (const resume of this.#waiting.splice(0)) {
      this.#dispatchedCount += 1;
      resume();
    }
  }

  #hasRoom(): boolean {
    return this.#dispatchedCount < maxDispatchedRequests &&
      (this.#dispatchedCount === 0 || this.#unreadBytes() <= maxUnreadBytes);
  }
}
