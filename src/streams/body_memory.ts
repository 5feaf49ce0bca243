/**
 * Accounts for the memory that the bodies of requests and answers occupy in one
 * daemon, so that many slow or large ones cannot exhaust a small VM.
 */

/** Counts bytes against one capacity, and against that of the whole of which it is a part. */
export class BodyMemory {
  readonly #capacityBytes: number;
  readonly #whole: BodyMemory | undefined;
  #usedBytes = 0;

  constructor(capacityBytes: number, whole?: BodyMemory) {
    this.#capacityBytes = capacityBytes;
    this.#whole = whole;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** The used fraction of the capacity. */
  get usedFraction(): number {
    return this.#usedBytes / this.#capacityBytes;
  }

  /** Reserves bytes; returns false, and reserves nothing, if they do not fit. */
  tryReserve(byteCount: number): boolean {
    if (this.#usedBytes + byteCount > this.#capacityBytes) return false;
    if (this.#whole?.tryReserve(byteCount) === false) return false;
    this.#usedBytes += byteCount;
    return true;
  }

  /** Reserves bytes that are occupied in any case, even beyond the capacity. */
  reserve(byteCount: number): void {
    this.#whole?.reserve(byteCount);
    this.#usedBytes += byteCount;
  }

  release(byteCount: number): void {
    this.#whole?.release(byteCount);
    this.#usedBytes -= byteCount;
  }
}

/** What the buffers between two connections take while a body is streamed. */
const streamBytes = 131_072;

/** What one exchange holds: bytes of bodies, and the buffers of streams. */
export class MemoryHold {
  readonly #bodies: BodyMemory;
  readonly #streams: BodyMemory;
  #heldBytes = 0;
  #streamedBytes = 0;

  constructor(
    memory: { readonly bodies: BodyMemory; readonly streams: BodyMemory },
  ) {
    this.#bodies = memory.bodies;
    this.#streams = memory.streams;
  }

  /** Reserves bytes of a body; returns false if they do not fit. */
  tryReserve(byteCount: number): boolean {
    if (!this.#bodies.tryReserve(byteCount)) return false;
    this.#heldBytes += byteCount;
    return true;
  }

  /** Counts a body that is streamed. */
  addStream(): void {
    this.#streams.reserve(streamBytes);
    this.#streamedBytes += streamBytes;
  }

  /** Releases bytes of a body, of which fewer may be held. */
  release(byteCount: number): void {
    const releasedBytes = Math.min(byteCount, this.#heldBytes);
    this.#heldBytes -= releasedBytes;
    this.#bodies.release(releasedBytes);
  }

  releaseAll(): void {
    this.release(this.#heldBytes);
    this.#streams.release(this.#streamedBytes);
    this.#streamedBytes = 0;
  }
}
