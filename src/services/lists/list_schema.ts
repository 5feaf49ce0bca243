/**
 * The zod schemas of the two lists. The published JSON Schemas in `schemas/`
 * are generated from them; `docs/LISTS.md` describes the format.
 */
import { z } from "zod";
import { ListName, RequestClass } from "../../types/enums.ts";

/** Longest text of one list, in UTF-16 code units. */
export const maxListLength = 2_000_000;

const namePattern = /^[a-z0-9][a-z0-9.-]{0,62}$/;
const maxRank = 1_000;
const maxRequestCount = 1_000_000_000;
const minWindowMs = 100;
const maxWindowMs = 86_400_000;

/** The values that a field accepts, as messages and schemas describe them. */
export interface FieldRule {
  readonly unit: string | undefined;
  readonly allowed: string;
}

const nameRule: FieldRule = {
  unit: undefined,
  allowed: "1 to 63 characters of a-z, 0-9, '.' and '-', " +
    "starting with a letter or digit",
};

/** The rules of the scalar fields. */
export const fieldRules = {
  rank: { unit: undefined, allowed: `a whole number from 0 to ${maxRank}` },
  requestCount: {
    unit: "requests",
    allowed: `a whole number from 1 to ${maxRequestCount}`,
  },
  windowMs: {
    unit: "milliseconds",
    allowed: `a whole number from ${minWindowMs} to ${maxWindowMs}`,
  },
  customer: nameRule,
  plan: nameRule,
} as const satisfies Record<string, FieldRule>;

function describeRule(rule: FieldRule): string {
  return rule.unit === undefined
    ? rule.allowed
    : `${rule.allowed} ${rule.unit}`;
}

const nameSchema = z.string().regex(namePattern)
  .meta({ description: describeRule(nameRule) });

const windowSchema = z.strictObject({
  requestCount: z.int().min(1).max(maxRequestCount)
    .meta({ description: describeRule(fieldRules.requestCount) }),
  windowMs: z.int().min(minWindowMs).max(maxWindowMs)
    .meta({ description: describeRule(fieldRules.windowMs) }),
});

/** The allowance of one request class: its two windows. */
export const classAllowanceSchema = z.strictObject({
  burst: windowSchema,
  sustained: windowSchema,
});

const planSchema = z.strictObject({
  rank: z.int().min(0).max(maxRank).meta({
    description:
      `${fieldRules.rank.allowed}; the highest is shed last under overload`,
  }),
  allowances: z.strictObject({
    [RequestClass.Confirmation]: classAllowanceSchema.optional(),
    [RequestClass.LiveRead]: classAllowanceSchema.optional(),
    [RequestClass.Archive]: classAllowanceSchema.optional(),
  }).meta({ description: "a class that is left out may not be used" }),
});

/** `plans.yaml`: the plan of each customer. */
export const plansSchema = z.strictObject({
  customers: z.record(nameSchema, nameSchema),
}).meta({ title: "Plans of customers" });

/** `allowances.yaml`: the requests that a customer on each plan may send to the whole fleet. */
export const allowancesSchema = z.strictObject({
  plans: z.record(nameSchema, planSchema),
}).meta({ title: "Allowances of plans" });

export type PlansList = z.infer<typeof plansSchema>;
export type AllowancesList = z.infer<typeof allowancesSchema>;
export type ClassAllowance = z.infer<typeof classAllowanceSchema>;

/** Returns the published JSON Schema of a list, as formatted JSON. */
export function createJsonSchema(listName: ListName): string {
  const schema = listName === ListName.Plans ? plansSchema : allowancesSchema;
  return `${JSON.stringify(z.toJSONSchema(schema), undefined, 2)}\n`;
}
