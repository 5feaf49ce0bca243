/**
 * Tracks the in-flight requests on one caller's connection. Callers may
 * pipeline requests, so only the answer to the newest request may close the
 * connection.
 */
import type { Socket } from "node:net";
import { createStopController } from "../../streams/stop_controller.ts";

export class CallerConnection {
  /** Number of requests whose answers have not been written completely. */
  pendingCount = 0;
  /** The connection is about to close; its further requests are ignored. */
  isClosing = false;
  readonly #socket: Socket;
  #newestSequenceNumber = 0;
  readonly #disconnectController = createStopController();

  constructor(socket: Socket) {
    this.#socket = socket;
    // Node half-closes the connection as soon as the caller does.
    socket.once("end", () => this.#disconnectController.abort());
    socket.once("close", () => this.#disconnectController.abort());
    socket.setNoDelay(true);
  }

  /** Aborts when the caller closes the connection. */
  get disconnectSignal(): AbortSignal {
    return this.#disconnectController.signal;
  }

  /**
   * Closes the connection if no answer is pending on it. Node's own
   * `closeIdleConnections` isn't used, since it treats an answer that is still
   * being sent as finished.
   */
  closeIfIdle(): void {
    if (this.pendingCount > 0 || this.#socket.writableLength > 0) return;
    this.isClosing = true;
    this.#socket.end();
  }

  /** Counts a request as pending; returns its sequence number on the connection. */
  addRequest(): number {
    this.pendingCount += 1;
    return ++this.#newestSequenceNumber;
  }

  /**
   * Whether the answer to a request may close the connection. Only the answer
   * to the newest request may, since answers are sent in request order.
   */
  isNewestRequest(sequenceNumber: number): boolean {
    return sequenceNumber === this.#newestSequenceNumber;
  }
}
