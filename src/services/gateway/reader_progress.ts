/**
 * Decides when a caller that has bytes to read has stalled. A caller that takes
 * some of them, however few, has not; one that takes nothing occupies memory,
 * and the slot of a server where its answer is streamed. Does no I/O.
 */
import { assertNever } from "../../types/errors.ts";
import { MemoryState } from "./held_bodies.ts";

/**
 * Longest time without progress. The operating system reports progress only in
 * steps of a part of its send buffer, which a slow caller takes seconds to read.
 */
const stallLimitMs = 10_000;
/** As `stallLimitMs`, while most of the memory for answers is in use. */
const shortStallLimitMs = 2_000;
/** As `stallLimitMs`, while requests are refused for lack of memory. */
const fullStallLimitMs = 500;
/** Longer intervals between two looks mean that this process was suspended. */
const maxStepMs = 500;

/** What is seen of a connection at one instant. */
export interface ReaderState {
  /** Bytes that the operating system has taken since the start of the connection. */
  readonly takenBytes: number;
  readonly waitingBytes: number;
}

/** The progress of the reader of one connection. */
export class ReaderProgress {
  #takenBytes = 0;
  #lookedAtMs = 0;
  #stalledMs = 0;

  /** The time without progress, as far as it was observed. */
  get stalledMs(): number {
    return this.#stalledMs;
  }

  /** Records what is seen now. */
  note({ takenBytes, waitingBytes }: ReaderState, nowMs: number): void {
    const hasProgress = waitingBytes === 0 || takenBytes !== this.#takenBytes;
    this.#stalledMs = hasProgress
      ? 0
      : this.#stalledMs + Math.min(maxStepMs, nowMs - this.#lookedAtMs);
    this.#takenBytes = takenBytes;
    this.#lookedAtMs = nowMs;
  }

  /** Whether the connection is to be ended. */
  hasStalled(memory: MemoryState): boolean {
    return this.#stalledMs >= getLimitMs(memory);
  }
}

function getLimitMs(memory: MemoryState): number {
  switch (memory) {
    case MemoryState.Ample:
      return stallLimitMs;
    case MemoryState.Short:
      return shortStallLimitMs;
    case MemoryState.Full:
      return fullStallLimitMs;
    default:
      return assertNever(memory);
  }
}
