/**
 * Ties a slot to the answer that occupies it: the slot is free when the body
 * has been read, has failed, or is given up. A body shorter or longer than its
 * declared length fails, so that a cut answer never looks complete.
 */
import { MessageCode } from "../../diagnostics/messages.ts";
import { AbortCause, type DeadlineSignal } from "../../host/deadline_signal.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type { RoutedRequest, RoutedResponse } from "../../types/types.ts";

const statusNoContent = 204;
const statusNotModified = 304;

/** What an answer belongs to. */
export interface TrackedAnswerOptions {
  readonly request: Pick<RoutedRequest, "method">;
  readonly peer: string;
  /** Gives the answer up when it aborts; aborted when the reader stops early. */
  readonly abort: DeadlineSignal;
}

/** An answer whose end can be awaited. */
export class TrackedAnswer {
  /** The answer to hand on; its body may be read once. */
  readonly response: RoutedResponse;
  /** Resolves when the answer needs its slot no longer. */
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
        throw this.#createBrokenAnswerError(
          `${length} of ${expectedLength} bytes`,
        );
      }
      isComplete = true;
    } finally {
      if (!isComplete) this.#options.abort.abort(AbortCause.Cancelled);
      this.#releaseSlot();
    }
  }

  /** Reads one chunk, unless the answer is given up first. */
  async #readChunk(
    iterator: AsyncIterator<Uint8Array>,
  ): Promise<IteratorResult<Uint8Array>> {
    const { abort } = this.#options;
    if (abort.cause !== undefined) {
      throw this.#createBrokenAnswerError(abort.cause);
    }
    const pendingRead = iterator.next();
    pendingRead.catch(() => {});
    const next = await Promise.race([pendingRead, abort.aborted]);
    if (next === undefined) {
      throw this.#createBrokenAnswerError(abort.cause ?? "aborted");
    }
    return next;
  }

  #createBrokenAnswerError(detail: string): RouterError {
    return new RouterError(MessageCode.AnswerBroken, "read answer", {
      peer: this.#options.peer,
      detail,
      outcome: AttemptOutcome.Answered,
    });
  }
}

/** The length that the body must have; undefined when it is not declared. */
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
