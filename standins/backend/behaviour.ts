/** How a backend server stand-in behaves; `/-/behaviour` changes it at any time. */
import { z } from "zod";

/** What is wrong with an answer. */
export enum AnswerFault {
  None = "none",
  /** Runs the request, then closes the connection without an answer. */
  Lost = "lost",
  /** Ends the body before its declared length. */
  CutBody = "cut-body",
  /** Echoes the identifier of another request. */
  OtherRequest = "other-request",
}

const durationSchema = z.number().min(0).max(3_600_000);

/** The knobs of a stand-in. */
export const behaviourSchema = z.strictObject({
  slotCount: z.number().int().min(1),
  serviceTimeMs: durationSchema,
  /** Time after the start during which requests take longer. */
  coldStartMs: durationSchema,
  coldFactor: z.number().min(1),
  probeTimeMs: durationSchema,
  checksFence: z.boolean(),
  /** Says that it leaves; still runs what arrives. */
  isDraining: z.boolean(),
  /** Refuses new requests while it drains. */
  refusesWhileDraining: z.boolean(),
  isShedding: z.boolean(),
  /** Requests that may wait for a slot; more are shed. */
  queueLimit: z.number().int().min(0),
  /** Age of the figures that health and load reports show. */
  reportLagMs: durationSchema,
  /** Overrides what the report says, whatever is true. */
  reportedHealthy: z.boolean().nullable(),
  reportedBusySlots: z.number().int().min(0).nullable(),
  answerFault: z.enum(AnswerFault),
  answerBytes: z.number().int().min(0).max(100_000_000),
});

/** The knobs of a stand-in. */
export type Behaviour = z.infer<typeof behaviourSchema>;

/** A server that does nothing wrong. */
export const defaultBehaviour: Behaviour = {
  slotCount: 3,
  serviceTimeMs: 2,
  coldStartMs: 0,
  coldFactor: 5,
  probeTimeMs: 6,
  checksFence: true,
  isDraining: false,
  refusesWhileDraining: false,
  isShedding: false,
  queueLimit: 1_000_000,
  reportLagMs: 0,
  reportedHealthy: null,
  reportedBusySlots: null,
  answerFault: AnswerFault.None,
  answerBytes: 0,
};

/** Changes some knobs; throws when one is unknown or out of range. */
export function changeBehaviour(behaviour: Behaviour, json: string): Behaviour {
  const change = behaviourSchema.partial().parse(JSON.parse(json));
  return behaviourSchema.parse({ ...behaviour, ...change });
}
