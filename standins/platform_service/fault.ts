/** Faults of the platform stand-in, which last until they are replaced. */
import { z } from "zod";

/** The body of `POST /fault`; a fault that is omitted is cleared. */
export const faultSchema = z.strictObject({
  isDown: z.boolean().default(false),
  /** Delay of every answer, in milliseconds. */
  delayMs: z.number().min(0).max(3_600_000).default(0),
  /** Carries out every write, then closes the connection without an answer. */
  losesWriteAnswers: z.boolean().default(false),
  /** Like `losesWriteAnswers`, but only for this number of writes. */
  lostWriteAnswerCount: z.number().int().min(0).default(0),
});

/** The faults in force. */
export type PlatformFault = z.infer<typeof faultSchema>;

/** Holds the faults in force and counts the answers that are still to be lost. */
export class FaultState {
  #fault = faultSchema.parse({});
  #remainingLossCount = 0;

  /** The faults in force. */
  get current(): PlatformFault {
    return this.#fault;
  }

  /** Replaces the faults; throws when a fault is unknown or out of range. */
  replace(json: string): void {
    this.#fault = faultSchema.parse(JSON.parse(json));
    this.#remainingLossCount = this.#fault.lostWriteAnswerCount;
  }

  /** Returns whether to lose the answer to the current write; counts a lost answer. */
  consumeAnswerLoss(): boolean {
    if (this.#fault.losesWriteAnswers) return true;
    if (this.#remainingLossCount === 0) return false;
    this.#remainingLossCount -= 1;
    return true;
  }
}
