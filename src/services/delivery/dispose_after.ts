/** Ties a deadline signal to the end of an answer. */
import { ok, type Result } from "neverthrow";
import type { DeadlineSignal } from "../../host/deadline_signal.ts";
import type { RouterError } from "../../types/errors.ts";
import type { RoutedResponse } from "../../types/types.ts";

/** What a delivery or one of its attempts results in. */
export type DeliveryResult = Result<RoutedResponse, RouterError>;

/** Keeps the signal in force until the answer has been read. */
export function disposeAfter(
  result: DeliveryResult,
  signal: DeadlineSignal,
): DeliveryResult {
  if (result.isErr()) {
    signal.dispose();
    return result;
  }
  const { body } = result.value;
  async function* read(): AsyncGenerator<Uint8Array> {
    try {
      yield* body;
    } finally {
      signal.dispose();
    }
  }
  return ok({ ...result.value, body: read() });
}
