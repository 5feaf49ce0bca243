/**
 * Compares outputs with recorded baselines. `npm run baselines` records them
 * again; the changes are then reviewed like any other.
 */
import { readFileSync, writeFileSync } from "node:fs";

const acceptVariable = "ACCEPT_BASELINES";
const maxShownLineCount = 20;

/** Compares a text with a baseline; records the text first if `ACCEPT_BASELINES` is 1. */
export function assertBaseline(file: URL, actual: string): void {
  if (process.env[acceptVariable] === "1") writeFileSync(file, actual);
  const expectedLines = readFileSync(file, "utf8").split("\n");
  const actualLines = actual.split("\n");
  const lineCount = Math.max(expectedLines.length, actualLines.length);
  const differences: string[] = [];
  for (let index = 0; index < lineCount; index++) {
    const expectedLine = expectedLines[index];
    const actualLine = actualLines[index];
    if (expectedLine === actualLine) continue;
    differences.push(`${index + 1} - ${expectedLine ?? "(end)"}`);
    differences.push(`${index + 1} + ${actualLine ?? "(end)"}`);
  }
  if (differences.length === 0) return;
  const shown = differences.slice(0, maxShownLineCount).join("\n");
  throw new Error(`output differs from baseline ${file.pathname}:\n${shown}`);
}
