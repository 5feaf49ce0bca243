/**
 * Tracks the in-flight requests on one caller's connection. Callers may
 * pipeline requests, so only the answer to the newest request may close the
 * connection. A connection whose requests wait for their turn is not read.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../host/clock.ts";
import type { BodyMemory } from "../../streams/body_memory.ts";
import { createStopController } from "../../streams/stop_controller.ts";
import { MemoryState } from "./held_bodies.ts";
import { ReaderProgress } from "./reader_progress.ts";
import { RequestTurns } from "./request_turns.ts";

/** Time that a caller has to close its side after the last answer. */
const lingerMs = 1_000;
/** A connection with more unanswered requests is ended. */
const maxPendingCount = 1_024;
/** As `maxPendingCount`, while the daemon takes no further requests. */
const maxPendingCountWhenFull = 64;

export class CallerConnection {
  /** Number of requests whose answers have not been written completely. */
  pendingCount = 0;
  /** The connection is about to close; its further requests are ignored. */
  isClosing = false;
  /** Only the end of the connection marks the end of the answer that is being written. */
  answerEndsWithConnection = false;
  /** The answers that the caller has not taken yet. */
  readonly answerMemory: BodyMemory;
  readonly progress = new ReaderProgress();
  readonly #turns: RequestTurns;
  /** The ends of the exchanges that are open. */
  readonly #openExchanges = new Set<() => void>();
  readonly #socket: Socket;
  readonly #clock: Clock;
  #newestSequenceNumber = 0;
  readonly #disconnectController = createStopController();

  constructor(
    socket: Socket,
    options: { readonly clock: Clock; readonly answerMemory: BodyMemory },
  ) {
    this.#socket = socket;
    this.#clock = options.clock;
    this.answerMemory = options.answerMemory;
    this.#turns = new RequestTurns(() => this.answerMemory.usedBytes);
    // Node resumes the connection after each answer.
    socket.on("resume", () => this.#pauseIfFull());
    socket.once("close", () => this.#endExchanges());
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

  /** Bytes that wait for the caller to read. */
  get waitingBytes(): number {
    return this.#socket.writableLength;
  }

  /** Whether the caller sends many requests without reading the answers. */
  isOverrun(memory: MemoryState): boolean {
    return this.pendingCount >
      (memory === MemoryState.Full ? maxPendingCountWhenFull : maxPendingCount);
  }

  /** Looks whether the caller has read anything. */
  noteProgress(nowMs: number): void {
    const { waitingBytes } = this;
    const takenBytes = this.#socket.bytesWritten - waitingBytes;
    this.progress.note({ takenBytes, waitingBytes }, nowMs);
  }

  /** Counts a request as pending; returns its sequence number on the connection. */
  addRequest(): number {
    this.pendingCount += 1;
    return ++this.#newestSequenceNumber;
  }

  /**
   * Calls `onEnd` once, when the answer to a request has been written or the
   * connection has closed. Node reports the close only to the first of several
   * pipelined requests.
   */
  endWith(response: ServerResponse, onEnd: () => void): void {
    const end = () => {
      if (!this.#openExchanges.delete(end)) return;
      this.pendingCount -= 1;
      onEnd();
    };
    this.#openExchanges.add(end);
    response.once("close", end);
  }

  /** Resolves when the request may be dispatched; its turn ends with `endTurn`. */
  async waitForTurn(): Promise<void> {
    const turn = this.#turns.next();
    this.#pauseIfFull();
    await turn;
  }

  endTurn(): void {
    this.#turns.end();
    if (!this.#turns.isFull) this.#socket.resume();
  }

  #pauseIfFull(): void {
    if (this.#turns.isFull) this.#socket.pause();
  }

  #endExchanges(): void {
    this.#turns.endAll();
    for (const end of this.#openExchanges) end();
  }

  /**
   * Whether the answer to a request may close the connection. Only the answer
   * to the newest request may, since answers are sent in request order.
   */
  isNewestRequest(sequenceNumber: number): boolean {
    return sequenceNumber === this.#newestSequenceNumber;
  }
}
