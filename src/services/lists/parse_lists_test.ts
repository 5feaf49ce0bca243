import { readFileSync } from "node:fs";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { ListName, RequestClass, WindowKind } from "../../types/enums.ts";
import { formatListIssue } from "./list_issue.ts";
import { createJsonSchema } from "./list_schema.ts";
import { parseLists } from "./parse_lists.ts";

function readRepositoryFile(path: string): string {
  return readFileSync(new URL(`../../../${path}`, import.meta.url), "utf8");
}

function readExamples() {
  return {
    plansText: readRepositoryFile("examples/plans.yaml"),
    allowancesText: readRepositoryFile("examples/allowances.yaml"),
  };
}

function describeErrors(plansText: string, allowancesText: string): string[] {
  return parseLists({ plansText, allowancesText }).errors.map(formatListIssue);
}

const faultyPlans = `customers:
  alpha: gold
  Alpha!: gold
  beta: copper
  alpha: silver
  gamma: 7
owner: me
`;

const faultyAllowances = `plans:
  gold:
    rank: high
    allowances:
      confirmation:
        burst: { requestCount: 10, windowMs: 1000 }
        sustained: { requestCount: -5, windowMs: 60000 }
      live-reed:
        burst: { requestCount: 10, windowMs: 1000 }
  silver:
    rank: 1001
    allowances:
      archive:
        burst: { requestCount: 10, windowSeconds: 1 }
        sustained: { requestCount: 10.5, windowMs: 50 }
  tin:
    rank: 1
    allowances:
      archive:
        burst: { requestCount: 90, windowMs: 60000 }
        sustained: { requestCount: 10, windowMs: 60000 }
  gold: 3
  lead: { rank: 3, allowances: [] }
`;

describe("parseLists", () => {
  describe("for the example lists", () => {
    it("reports neither errors nor warnings", () => {
      const check = parseLists(readExamples());
      assert.equal(check.errors, []);
      assert.equal(check.warnings, []);
    });

    it("returns the line that sets each window", () => {
      const { contents } = parseLists(readExamples());
      const windows = contents!.plans.payroll!
        .allowances[RequestClass.Confirmation];
      assert.equal(windows, [
        { kind: WindowKind.Burst, count: 400, windowMs: 1000, listLine: 8 },
        {
          kind: WindowKind.Sustained,
          count: 12000,
          windowMs: 60000,
          listLine: 9,
        },
      ]);
    });
  });

  describe("for invalid lists", () => {
    it("reports every mistake with its line, column, field, value and unit", () => {
      const lines = describeErrors(faultyPlans, faultyAllowances);
      const baseline = new URL("lists_mistakes.txt", import.meta.url);
      assert.is(`${lines.join("\n")}\n`, readFileSync(baseline, "utf8"));
    });

    it("reports a text that is not YAML", () => {
      const [line] = describeErrors("customers: [\n x: : y", "plans: {}");
      assert.match(line!, /^plans\.yaml:2:5 the list: not readable as YAML/);
    });

    it("reports an empty list", () => {
      assert.match(
        describeErrors("", "plans: {}").join("\n"),
        /plans\.yaml:1:1 the list/,
      );
    });

    it("reports a text that is too long", () => {
      const lines = describeErrors("#".repeat(2_000_001), "plans: {}");
      assert.match(lines.join("\n"), /allowed: at most 2000000 characters/);
    });
  });

  describe("for a plan that no customer is on", () => {
    it("returns a warning", () => {
      const { plansText, allowancesText } = readExamples();
      const check = parseLists({
        plansText: plansText.replace(/.*: audit\n/, ""),
        allowancesText,
      });
      assert.equal(check.errors, []);
      assert.equal(check.warnings.map(formatListIssue), [
        "allowances.yaml:43:3 plans.audit: no customer is on this plan",
      ]);
    });
  });
});

describe("createJsonSchema", () => {
  for (const listName of Object.values(ListName)) {
    it(`returns the published schema of ${listName}`, () => {
      const file = listName.replace(".yaml", ".schema.json");
      assert.is(
        readRepositoryFile(`schemas/${file}`),
        createJsonSchema(listName),
      );
    });
  }
});
