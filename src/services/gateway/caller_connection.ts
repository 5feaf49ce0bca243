/**
 * What is in progress on one caller's connection. Requests may be sent before
 * earlier ones are answered, so a connection is only closed behind the last.
 */
import type { Socket } from "node:net";
import { createStopController } from "../../streams/stop_controller.ts";

/** One caller's connection. */
export class CallerConnection {
  /** Requests whose answers are not on their way yet. */
  pendingCount = 0;
  /** An answer has told the caller that the connection closes. */
  isClosing = false;
  #newest = 0;
  readonly #left = createStopController();

  constructor(socket: Socket) {
    socket.once("close", () => this.#left.abort());
    socket.setNoDelay(true);
  }

  /** Aborted when the caller has closed the connection. */
  get left(): AbortSignal {
    return this.#left.signal;
  }

  /** Numbers a request in the order of reading. */
  admit(): number {
    this.pendingCount += 1;
    return ++this.#newest;
  }

  /**
   * Whether the answer to a request may close the connection: only that to the
   * newest, since answers go out in the order of the requests.
   */
  mayCloseBehind(place: number): boolean {
    return place === this.#newest;
  }
}
