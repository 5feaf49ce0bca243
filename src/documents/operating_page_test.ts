import { readFileSync } from "node:fs";
import * as assert from "uvu/assert";
import { createCommands } from "../cli/command_table.ts";
import { createRefusalJsonSchema } from "../services/entry/refusal_schema.ts";
import { CounterName, TimingName } from "../services/metrics/metrics.ts";
import { describe, it } from "../testing/describe.ts";
import { updateOperatingPage } from "./operating_page.ts";
import { updateOperationsPage } from "./operations_page.ts";

function readPage(name: string): string {
  return readFileSync(new URL(`../../docs/${name}`, import.meta.url), "utf8");
}

describe("docs/OPERATING.md", () => {
  it("contains the generated tables", () => {
    const page = readPage("OPERATING.md");
    assert.is(page, updateOperatingPage(page));
  });

  it("describes every counter and timing", () => {
    const page = readPage("OPERATING.md");
    const names = [...Object.values(CounterName), ...Object.values(TimingName)];
    assert.equal(names.filter((name) => !page.includes(`| \`${name}\``)), []);
  });

  it("names every command of the tool", () => {
    const page = readPage("OPERATING.md");
    const names = createCommands().map(({ name }) => `skylarkridge ${name}`);
    assert.equal(names.filter((name) => !page.includes(name)), []);
  });
});

describe("docs/OPERATIONS.md", () => {
  it("contains the generated table of log events", () => {
    const page = readPage("OPERATIONS.md");
    assert.is(page, updateOperationsPage(page));
  });
});

describe("docs/refusal.schema.json", () => {
  it("is the generated schema", () => {
    assert.is(readPage("refusal.schema.json"), createRefusalJsonSchema());
  });
});
