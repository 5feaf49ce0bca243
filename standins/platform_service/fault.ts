/** What the platform stand-in does wrong until told otherwise. */
import { z } from "zod";

/** The faults that `POST /fault` orders; what is left out is no fault. */
export const faultSchema = z.strictObject({
  isDown: z.boolean().default(false),
  /** Delay of every answer, in milliseconds. */
  delayMs: z.number().min(0).max(3_600_000).default(0),
  /** Takes every write, then closes the connection without an answer. */
  losesWriteAnswers: z.boolean().default(false),
  /** Like `losesWriteAnswers`, for this many writes only. */
  lostWriteAnswerCount: z.number().int().min(0).default(0),
});

/** The faults in force. */
export type PlatformFault = z.infer<typeof faultSchema>;

/** The faults in force, and the answers that are still to be lost. */
export class FaultState {
  #fault = faultSchema.parse({});
  #remainingLossCount = 0;

  /** The faults in force. */
  get current(): PlatformFault {
    return this.#fault;
  }

  /** Replaces the faults; throws when one is unknown. */
  replace(json: string): void {
    this.#fault = faultSchema.parse(JSON.parse(json));
    this.#remainingLossCount = this.#fault.lostWriteAnswerCount;
  }

  /** Whether the answer to the write at hand gets lost; counts it. */
  consumeAnswerLoss(): boolean {
    if (this.#fault.losesWriteAnswers) return true;
    if (this.#remainingLossCount === 0) return false;
    this.#remainingLossCount -= 1;
    return true;
  }
}
