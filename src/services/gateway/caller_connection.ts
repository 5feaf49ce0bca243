/**
 * What is in progress on one caller's connection. Requests may be sent before
 * earlier ones are answered, so a connection is only closed behind the last.
 */
import type { Socket } from "node:net";

/** One caller's connection. */
export class CallerConnection {
  /** Requests that were read and not yet answered. */
  pendingCount = 0;
  /** An answer has told the caller that the connection closes. */
  isClosing = false;
  readonly #left = new AbortController();

  constructor(socket: Socket) {
    socket.once("close", () => this.#left.abort());
    socket.setNoDelay(true);
  }

  /** Aborted when the caller has closed the connection. */
  get left(): AbortSignal {
    return this.#left.signal;
  }

  /**
   * Whether the next answer shall close the connection: only when no other
   * request on it waits for an answer.
   */
  mayCloseNow(): boolean {
    return this.pendingCount <= 1;
  }
}
