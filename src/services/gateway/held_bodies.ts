/**
 * Bounds what one daemon holds for callers and backend servers that read
 * slowly, or that read nothing, and says when new requests no longer fit. The
 * smallest VM has 210 MB for the process. Does no I/O.
 */
import { BodyMemory, MemoryHold } from "../../streams/body_memory.ts";

/** Memory for the answers that callers have not taken yet. */
const answerBytes = 32 * 1_048_576;
/** As `answerBytes`, for one connection of a caller. */
const connectionAnswerBytes = 16 * 1_048_576;
/** Memory for the bodies of requests. */
const requestBytes = 32 * 1_048_576;
/** Memory for the buffers of bodies that are streamed in either direction. */
const streamBytes = 24 * 1_048_576;
/** Requests without an answer. */
const maxOpenRequests = 4_096;
/** Used fraction from which a memory counts as short. */
const shortFraction = 0.75;

/** How much of what may be held for callers that read slowly is in use. */
export enum MemoryState {
  Ample = "ample",
  Short = "short",
  /** No further request is taken. */
  Full = "full",
}

/** What one daemon holds. */
export class HeldBodies {
  /** Bodies of requests. */
  readonly requests = new BodyMemory(requestBytes);
  readonly #answers = new BodyMemory(answerBytes);
  readonly #streams = new BodyMemory(streamBytes);
  openRequestCount = 0;

  get state(): MemoryState {
    const isFull = this.#streams.usedFraction >= 1 ||
      this.openRequestCount > maxOpenRequests;
    if (isFull) return MemoryState.Full;
    const isShort = this.#answers.usedFraction >= shortFraction ||
      this.#streams.usedFraction >= shortFraction;
    return isShort ? MemoryState.Short : MemoryState.Ample;
  }

  get unreadAnswerBytes(): number {
    return this.#answers.usedBytes;
  }

  /** Creates the memory for the answers on one connection. */
  createConnectionMemory(): BodyMemory {
    return new BodyMemory(connectionAnswerBytes, this.#answers);
  }

  /** Creates the hold of one exchange, whose answers count toward those of its connection. */
  createHold(connectionMemory: BodyMemory): MemoryHold {
    return new MemoryHold({
      bodies: connectionMemory,
      streams: this.#streams,
    });
  }
}
