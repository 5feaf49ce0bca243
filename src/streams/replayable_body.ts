/**
 * The body of a caller's request, read from the caller only as fast as it is
 * consumed. The start of the body is held as long as memory permits, so that a
 * server that did not run the request can be replaced by another one.
 */
import { Readable } from "node:stream";
import type { BodyMemory } from "./body_memory.ts";

/** Size, memory and source of a body. */
export interface ReplayableBodyOptions {
  readonly source: Readable;
  /** Undefined when the caller did not state the length. */
  readonly statedBytes: number | undefined;
  /** Longest start of the body that is held. */
  readonly maxHeldBytes: number;
  /** A longer body fails. */
  readonly maxBytes: number;
  readonly memory: BodyMemory;
}

/** A body that can be sent again while all of its bytes that were read are held. */
export class ReplayableBody {
  readonly statedBytes: number | undefined;
  readonly #options: ReplayableBodyOptions;
  readonly #iterator: AsyncIterator<Uint8Array>;
  /** The chunks since the start of the body, or since the last one that was dropped. */
  #chunks: Uint8Array[] = [];
  #reservedBytes = 0;
  #readBytes = 0;
  #isEnded = false;
  /** Whether the start of the body is no longer held. */
  #isStartDropped = false;
  #pendingRead: Promise<void> | undefined;
  #reader: Readable | undefined;

  constructor(options: ReplayableBodyOptions) {
    this.#options = options;
    this.statedBytes = options.statedBytes;
    this.#iterator = options.source[Symbol.asyncIterator]();
  }

  /** Whether `open` can return the body from its first byte. */
  get isReplayable(): boolean {
    return !this.#isStartDropped;
  }

  /**
   * Reads ahead until the body has ended or no more of it may be held. Resolves
   * with the whole body, or with undefined if there is more to read.
   */
  async readAhead(): Promise<Uint8Array | undefined> {
    while (!this.#isEnded && this.#mayHoldMore()) await this.#readChunk();
    if (!this.#isEnded) return undefined;
    if (this.#chunks.length !== 1) {
      // The body isn't held twice.
      this.#chunks = [Buffer.concat(this.#chunks)];
    }
    return this.#chunks[0]!;
  }

  /** Returns the body from its first byte; ends an earlier reader. Throws when the body is not replayable. */
  open(): Readable {
    if (!this.isReplayable) throw new Error("the body is no longer held");
    this.#reader?.destroy();
    // Only the newest reader may drop the start of the body.
    const reader: Readable = Readable.from(
      this.#readAll(() => this.#reader === reader),
      { objectMode: false },
    );
    this.#reader = reader;
    return reader;
  }

  /** Reads what is left and drops it, so that the next request on the caller's connection can be read. */
  async discard(): Promise<void> {
    this.#reader?.destroy();
    this.#reader = undefined;
    this.#isStartDropped = true;
    try {
      while (!this.#isEnded) {
        this.#dropChunks();
        await this.#readChunk();
      }
    } catch {
      // The caller has disconnected or sends without end.
      this.#options.source.destroy();
    } finally {
      this.#dropChunks();
    }
  }

  async *#readAll(isCurrent: () => boolean): AsyncGenerator<Uint8Array> {
    let index = 0;
    while (isCurrent()) {
      if (index < this.#chunks.length) {
        yield this.#chunks[index++]!;
        continue;
      }
      if (this.#isEnded) return;
      if (!this.#mayHoldMore()) {
        this.#isStartDropped = true;
        this.#dropChunks();
        index = 0;
      }
      await this.#readChunk();
    }
  }

  /** Whether a further chunk may be held, as far as can be told before it is read. */
  #mayHoldMore(): boolean {
    return !this.#isStartDropped &&
      this.#reservedBytes === this.#readBytes &&
      this.#readBytes <= this.#options.maxHeldBytes;
  }

  /** Reads one chunk; concurrent calls share one read. */
  #readChunk(): Promise<void> {
    this.#pendingRead ??= this.#readNext().finally(() => {
      this.#pendingRead = undefined;
    });
    return this.#pendingRead;
  }

  async #readNext(): Promise<void> {
    const next = await this.#iterator.next();
    if (next.done === true) {
      this.#isEnded = true;
      return;
    }
    const { memory, maxBytes } = this.#options;
    this.#readBytes += next.value.length;
    if (this.#readBytes > maxBytes) {
      throw new RangeError("the body is too long");
    }
    this.#chunks.push(next.value);
    if (memory.tryReserve(next.value.length)) {
      this.#reservedBytes += next.value.length;
    }
  }

  #dropChunks(): void {
    this.#chunks = [];
    this.#options.memory.release(this.#reservedBytes);
    this.#reservedBytes = 0;
  }
}
