/** Stated outcomes of a trace, and how a replay differs from them. */
import { z } from "zod";
import type { ReplayReport, ServiceReport } from "./replay_report.ts";

const expectedServiceSchema = z.strictObject({
  requestCount: z.number().int(),
  minAnsweredCount: z.number().int(),
  minFirstAttemptAnsweredCount: z.number().int(),
  maxLongestAnswerMs: z.number(),
  maxMovedKeyCount: z.number(),
  maxLongestUnavailableMs: z.number(),
});

const expectedOutcomeSchema = z.strictObject({
  /** Each broken invariant counts as one. */
  maxViolationCount: z.literal(0),
  maxListEditMs: z.number(),
  services: z.record(z.string(), expectedServiceSchema),
});

export type ExpectedOutcome = z.infer<typeof expectedOutcomeSchema>;
type ExpectedService = z.infer<typeof expectedServiceSchema>;

/** Parses the text of a `*.expected.json` file; throws when malformed. */
export function parseExpectedOutcome(text: string): ExpectedOutcome {
  return expectedOutcomeSchema.parse(JSON.parse(text));
}

/** Lists how a replay differs from what was stated; empty when it does not. */
export function findDifferences(
  expected: ExpectedOutcome,
  report: ReplayReport,
): readonly string[] {
  const services = Object.entries(expected.services).flatMap(([name, stated]) =>
    compareService(
      stated,
      report.services.find(({ service }) => service === name),
      name,
    )
  );
  return [
    ...report.violations.map((violation) => `invariant broken: ${violation}`),
    ...atMost("longest list edit", report.longestListEditMs, {
      bound: expected.maxListEditMs,
      unit: "ms",
    }),
    ...services,
  ];
}

function compareService(
  expected: ExpectedService,
  report: ServiceReport | undefined,
  name: string,
): readonly string[] {
  if (report === undefined) return [`${name}: not in the replay`];
  const { requestCount } = expected;
  return [
    ...(report.requestCount === requestCount ? [] : [
      `${name} requests: expected ${requestCount}, was ${report.requestCount}`,
    ]),
    ...atLeast(`${name} answered`, report.answeredCount, {
      bound: expected.minAnsweredCount,
    }),
    ...atLeast(
      `${name} answered at the first attempt`,
      report.firstAttemptAnsweredCount,
      { bound: expected.minFirstAttemptAnsweredCount },
    ),
    ...atMost(`${name} longest answer`, report.longestAnswerMs, {
      bound: expected.maxLongestAnswerMs,
      unit: "ms",
    }),
    ...atMost(`${name} moved keys`, report.movedKeyCount, {
      bound: expected.maxMovedKeyCount,
      unit: "keys",
    }),
    ...atMost(`${name} longest unavailable`, report.longestUnavailableMs, {
      bound: expected.maxLongestUnavailableMs,
      unit: "ms",
    }),
  ];
}

function atMost(
  name: string,
  value: number,
  { bound, unit }: { readonly bound: number; readonly unit: string },
): readonly string[] {
  if (value <= bound) return [];
  return [`${name}: expected at most ${bound} ${unit}, was ${value}`];
}

function atLeast(
  name: string,
  value: number,
  { bound }: { readonly bound: number },
): readonly string[] {
  if (value >= bound) return [];
  return [`${name}: expected at least ${bound}, was ${value}`];
}
