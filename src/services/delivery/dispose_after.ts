/** Keeps a deadline signal active until the end of an answer. */
import { ok, type Result } from "neverthrow";
import type { DeadlineSignal } from "../../host/deadline_signal.ts";
import type { RouterError } from "../../types/errors.ts";
import type { RoutedResponse } from "../../types/types.ts";

/** The result of a delivery or of one attempt. */
export type DeliveryResult = Result<RoutedResponse, RouterError>;

/** Disposes of the signal after an error, or when the answer's body has been read. */
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
