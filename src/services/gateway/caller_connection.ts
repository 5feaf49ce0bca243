/**
 * Tracks the in-flight requests on one caller's connection. Callers may
 * pipeline requests, so only the answer to the newest request may close the
 * connection.
 */
import type { Socket } from "node:net";
import type { Clock } from "../../host/clock.ts";
import { createStopController } from "../../streams/stop_controller.ts";

/** Time that a caller has to close its side after the last answer. */
const lingerMs = 1_000;

export class CallerConnection {
  /** Number of requests whose answers have not been written completely. */
  pendingCount = 0;
  /** The connection is about to close; its further requests are ignored. */
  isClosing = false;
  /** Only the end of the connection marks the end of the answer that is being written. */
  answerEndsWithConnection = false;
  readonly #socket: Socket;
  readonly #clock: Clock;
  #newestSequenceNumber = 0;
  readonly #disconnectController = createStopController();

  constructor(socket: Socket, clock: Clock) {
    this.#socket = socket;
    this.#clock = clock;
    // Node half-closes the connection as soon as the caller does.
    socket.once("end", () => this.#disconnectController.abort());
    socket.once("close", () => this.#disconnectController.abort());
    socket.setNoDelay(true);
    // Node closes the connection as soon as the last answer is in the send
    // buffer. Bytes that the caller sends later, such as a pipelined request,
    // would then reset the connection and discard the rest of the answer.
    socket.destroySoon = () => this.#closeSending();
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
    this.#closeSending();
  }

  /** Ends the connection with a reset, by which the caller sees that an answer without a length is incomplete. */
  reset(): void {
    this.isClosing = true;
    this.#socket.resetAndDestroy();
  }

  /** Closes the sending side, and discards what the caller still sends until it closes its own side. */
  #closeSending(): void {
    const socket = this.#socket;
    if (!socket.writable) return;
    socket.end();
    const cancelTimer = this.#clock.after(lingerMs, () => socket.destroy());
    socket.once("close", cancelTimer);
    socket.once("end", () => socket.destroy());
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
