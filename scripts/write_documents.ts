/** Writes the generated parts of docs/; run by `npm run docs`. */
import { readFileSync, writeFileSync } from "node:fs";
import { updateOperatingPage } from "../src/documents/operating_page.ts";
import { updateOperationsPage } from "../src/documents/operations_page.ts";
import { createRefusalJsonSchema } from "../src/services/entry/refusal_schema.ts";

const folder = new URL("../docs/", import.meta.url);
const operatingPage = new URL("OPERATING.md", folder);
const operationsPage = new URL("OPERATIONS.md", folder);
const refusalSchema = new URL("refusal.schema.json", folder);

writeFileSync(
  operatingPage,
  updateOperatingPage(readFileSync(operatingPage, "utf8")),
);
writeFileSync(
  operationsPage,
  updateOperationsPage(readFileSync(operationsPage, "utf8")),
);
writeFileSync(refusalSchema, createRefusalJsonSchema());
