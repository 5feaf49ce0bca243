import { readFileSync } from "node:fs";
import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import { findDifferences, parseExpectedOutcome } from "./expected_outcome.ts";
import { listRecordings } from "./recordings.ts";
import type { ReplayReport, ServiceReport } from "./replay_report.ts";
import { replayTrace } from "./replay_trace.ts";
import { parseTrace } from "./trace_codec.ts";

const service: ServiceReport = {
  service: "roster",
  requestCount: 10,
  answeredCount: 10,
  firstAttemptAnsweredCount: 9,
  longestAnswerMs: 100,
  imbalance: 1,
  movedKeyCount: 5,
  unavailableKeySeconds: 1,
  longestUnavailableMs: 500,
};
const report: ReplayReport = {
  services: [service],
  violations: [],
  longestListEditMs: 10,
};
const expected = parseExpectedOutcome(JSON.stringify({
  maxViolationCount: 0,
  maxListEditMs: 10,
  services: {
    roster: {
      requestCount: 10,
      minAnsweredCount: 10,
      minFirstAttemptAnsweredCount: 9,
      maxLongestAnswerMs: 100,
      maxMovedKeyCount: 5,
      maxLongestUnavailableMs: 500,
    },
  },
}));

describe("replay", () => {
  for (const { file } of listRecordings()) {
    it(`reproduces the expected outcome of ${file}`, async () => {
      const trace = parseTrace(readFileSync(file, "utf8"));
      const expectedOutcome = parseExpectedOutcome(
        readFileSync(file.replace(".jsonl", ".expected.json"), "utf8"),
      );
      const replayed = await replayTrace(trace);
      assert.equal(findDifferences(expectedOutcome, replayed), []);
    });
  }

  describe("findDifferences", () => {
    it("finds no difference when every value equals its bound", () => {
      assert.equal(findDifferences(expected, report), []);
    });

    it("names each value beyond its bound, with the value and the bound", () => {
      const worse = {
        ...service,
        answeredCount: 9,
        movedKeyCount: 6,
        longestUnavailableMs: 501,
      };
      assert.equal(
        findDifferences(expected, { ...report, services: [worse] }),
        [
          "roster answered: expected at least 10, was 9",
          "roster moved keys: expected at most 5 keys, was 6",
          "roster longest unavailable: expected at most 500 ms, was 501",
        ],
      );
    });

    it("reports violated invariants and missing services", () => {
      const broken = { ...report, services: [], violations: ["ran-twice x"] };
      assert.equal(findDifferences(expected, broken), [
        "invariant broken: ran-twice x",
        "roster: not in the replay",
      ]);
    });
  });
});
