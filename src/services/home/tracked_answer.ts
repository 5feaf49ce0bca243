/**
 * Tracks how long an answer occupies its slot: until the body has been read to
 * the end, has failed, or is aborted. Reading fails when the length of the body
 * differs from the declared length, so that a caller never takes a truncated
 * answer for a complete one.
 */
import { MessageCode } from "../../diagnostics/messages.ts";
import { AbortCause, type DeadlineSignal } from "../../host/deadline_signal.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type { RoutedRequest, RoutedResponse } from "../../types/types.ts";

const statusNoContent = 204;
const statusNotModified = 304;

export interface TrackedAnswerOptions {
  readonly request: Pick<RoutedRequest, "method">;
  readonly peer: string;
  /**
   * Ends the answer when it aborts; it is aborted when the reader stops early.
   */
  readonly abort: DeadlineSignal;
}

/**
 * An answer with a promise that resolves when the answer no longer needs its
 * slot.
 */
export class TrackedAnswer {
  /** The answer for the caller; its body may be read once. */
  readonly response: RoutedResponse;
  readonly slotReleased: Promise<void>;
  readonly #options: TrackedAnswerOptions;
  #releaseSlot: () => void = () => {};

  constructor(answer: RoutedResponse, options: TrackedAnswerOptions) {
    this.#options = options;
    const bodyFinished = new Promise<void>((resolve) =>
      this.#releaseSlot = resolve
    );
    this.slotReleased = Promise.race([bodyFinished, options.abort.aborted]);
    this.response = { ...answer, body: this.#readBody(answer) };
  }

  async *#readBody(answer: RoutedResponse): AsyncGenerator<Uint8Array> {
    const expectedLength = tryGetDeclaredLength(
      answer,
      this.#options.request.method,
    );
    const iterator = answer.body[Symbol.asyncIterator]();
    let length = 0;
    let isComplete = false;
    try {
      for (;;) {
        const next = await this.#readChunk(iterator);
        if (next.done === true) break;
        length += next.value.length;
        if (expectedLength !== undefined && length > expectedLength) break;
        yield next.value;
      }
      if (expectedLength !== undefined && length !== expectedLength) {
        throw this.#createError(
          `${length} of ${expectedLength} bytes`,
        );
      }
      isComplete = true;
    } finally {
      if (!isComplete) this.#options.abort.abort(AbortCause.Cancelled);
      this.#releaseSlot();
    }
  }

  /** Reads one chunk; throws when `abort` aborts first. */
  async #readChunk(
    iterator: AsyncIterator<Uint8Array>,
  ): Promise<IteratorResult<Uint8Array>> {
    const { abort } = this.#options;
    if (abort.cause !== undefined) throw this.#createError(abort.cause);
    const pendingRead = iterator.next();
    pendingRead.catch(() => {});
    const next = await Promise.race([pendingRead, abort.aborted]);
    if (next === undefined) throw this.#createError(abort.cause ?? "aborted");
    return next;
  }

  #createError(detail: string): RouterError {
    return new RouterError(MessageCode.AnswerTruncated, "read answer", {
      peer: this.#options.peer,
      detail,
      outcome: AttemptOutcome.Answered,
    });
  }
}

/** The length that the body must have; undefined when none applies. */
function tryGetDeclaredLength(
  answer: RoutedResponse,
  method: string,
): number | undefined {
  if (method === "HEAD") return undefined;
  if (answer.status === statusNoContent) return undefined;
  if (answer.status === statusNotModified) return undefined;
  const declared = answer.headers["content-length"];
  return declared === undefined ? undefined : Number(declared);
}
