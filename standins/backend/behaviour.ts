/** The behaviour of a backend server stand-in; `/-/behaviour` changes it at any time. */
import { z } from "zod";

/** A fault that the stand-in puts into its answers. */
export enum AnswerFault {
  None = "none",
  /** Executes the request, then closes the connection without an answer. */
  Lost = "lost",
  /** Ends the body before its declared length. */
  CutBody = "cut-body",
  /** Returns the identifier of another request. */
  OtherRequest = "other-request",
}

const durationSchema = z.number().min(0).max(3_600_000);

/** Checks the settings that `/-/behaviour` accepts. */
export const behaviourSchema = z.strictObject({
  slotCount: z.number().int().min(1),
  serviceTimeMs: durationSchema,
  /** Time after the start during which requests take `coldFactor` times as long. */
  coldStartMs: durationSchema,
  coldFactor: z.number().min(1),
  probeTimeMs: durationSchema,
  checksFence: z.boolean(),
  /** Reports that the server drains; the server still executes requests. */
  isDraining: z.boolean(),
  /** Refuses new requests while the server drains. */
  refusesWhileDraining: z.boolean(),
  isShedding: z.boolean(),
  /** Number of requests that may wait for a slot; further requests are shed. */
  queueLimit: z.number().int().min(0),
  /** Age of the values in reports of health and load. */
  reportLagMs: durationSchema,
  /** Overrides the actual health in reports; null for no override. */
  reportedHealthy: z.boolean().nullable(),
  /** Overrides the actual busy slots in reports; null for no override. */
  reportedBusySlots: z.number().int().min(0).nullable(),
  answerFault: z.enum(AnswerFault),
  answerBytes: z.number().int().min(0).max(100_000_000),
});

/** The settings of a stand-in. */
export type Behaviour = z.infer<typeof behaviourSchema>;

/** The settings of a server without faults. */
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

/** Applies a change; throws when a setting is unknown or out of range. */
export function changeBehaviour(behaviour: Behaviour, json: string): Behaviour {
  const change = behaviourSchema.partial().parse(JSON.parse(json));
  return behaviourSchema.parse({ ...behaviour, ...change });
}
