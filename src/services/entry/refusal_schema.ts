/**
 * The schema of the JSON body of a refusal. `npm run docs` generates
 * `docs/refusal.schema.json` from it.
 */
import { z } from "zod";
import { MessageCode } from "../../diagnostics/messages.ts";
import { AttemptOutcome } from "../../types/enums.ts";

/** The body of a refusal. */
export const refusalSchema = z.strictObject({
  code: z.enum(MessageCode).meta({
    description: "Stable code of the refusal.",
  }),
  message: z.string().meta({ description: "Text for people; may change." }),
  requestId: z.string().meta({
    description: "Identifier for `skylarkridge explain`.",
  }),
  outcome: z.enum(AttemptOutcome).meta({
    description: "What is known about the attempt to run the request.",
  }),
  mayHaveRun: z.boolean().meta({
    description: "False only when the request certainly did not run.",
  }),
  limitName: z.string().optional().meta({
    description: "The exhausted limit, for refusals by a limit.",
  }),
  retryAfterMs: z.number().optional().meta({
    description: "Time after which to try again, in milliseconds.",
  }),
}).meta({ title: "skylarkridge refusal" });

/** The body of a refusal. */
export type Refusal = z.infer<typeof refusalSchema>;

/** Returns the schema as a JSON Schema document. */
export function createRefusalJsonSchema(): string {
  return `${JSON.stringify(z.toJSONSchema(refusalSchema), undefined, 2)}\n`;
}
