/**
 * Recorded outputs. `npm run baselines` records them anew; the difference is
 * then read like any other change.
 */
import { readFileSync, writeFileSync } from "node:fs";

const acceptVariable = "ACCEPT_BASELINES";
const maxShownLineCount = 20;

/** Compares a text with the recorded one, or records it when asked to. */
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
  throw new Error(`the output differs from ${file.pathname}:\n${shown}`);
}
