/** The expected outcome of a trace, and the differences of a replay from it. */
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
  /** Each violated invariant counts as one violation; none is allowed. */
  maxViolationCount: z.literal(0),
  maxListEditMs: z.number(),
  services: z.record(z.string(), expectedServiceSchema),
});

export type ExpectedOutcome = z.infer<typeof expectedOutcomeSchema>;
type ExpectedService = z.infer<typeof expectedServiceSchema>;

/** Parses the text of an `*.expected.json` file; throws if it is malformed. */
export function parseExpectedOutcome(text: string): ExpectedOutcome {
  return expectedOutcomeSchema.parse(JSON.parse(text));
}

/** Lists the differences of a replay from the expected outcome; empty if there are none. */
export function findDifferences(
  expected: ExpectedOutcome,
  report: ReplayReport,
): readonly string[] {
  const services = Object.entries(expected.services).flatMap((
    [name, expectedService],
  ) =>
    compareService(
      expectedService,
      report.services.find(({ service }) => service === name),
      name,
    )
  );
  return [
    ...report.violations.map((violation) => `invariant broken: ${violation}`),
    ...checkAtMost("longest list edit", report.longestListEditMs, {
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
    ...checkAtLeast(`${name} answered`, report.answeredCount, {
      bound: expected.minAnsweredCount,
    }),
    ...checkAtLeast(
      `${name} answered at the first attempt`,
      report.firstAttemptAnsweredCount,
      { bound: expected.minFirstAttemptAnsweredCount },
    ),
    ...checkAtMost(`${name} longest answer`, report.longestAnswerMs, {
      bound: expected.maxLongestAnswerMs,
      unit: "ms",
    }),
    ...checkAtMost(`${name} moved keys`, report.movedKeyCount, {
      bound: expected.maxMovedKeyCount,
      unit: "keys",
    }),
    ...checkAtMost(`${name} longest unavailable`, report.longestUnavailableMs, {
      bound: expected.maxLongestUnavailableMs,
      unit: "ms",
    }),
  ];
}

function checkAtMost(
  name: string,
  value: number,
  { bound, unit }: { readonly bound: number; readonly unit: string },
): readonly string[] {
  if (value <= bound) return [];
  return [`${name}: expected at most ${bound} ${unit}, was ${value}`];
}

function checkAtLeast(
  name: string,
  value: number,
  { bound }: { readonly bound: number },
): readonly string[] {
  if (value >= bound) return [];
  return [`${name}: expected at least ${bound}, was ${value}`];
}
