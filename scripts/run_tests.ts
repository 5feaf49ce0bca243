/**
 * Runs every test file below the test roots, or those whose path contains the
 * first argument, and prints the summary line that CI parses. Exits 1 if a test
 * fails or no test passes.
 */
import { spawn } from "node:child_process";
import { existsSync, readdirSync } from "node:fs";
import { join } from "node:path";

const testRoots = ["src", "platform", "standins", "bench", "scripts"];
const testFileSuffix = "_test.ts";

/** Lists the test files below the roots whose path contains the filter, ordered by path. */
function listTestFiles(filter: string | undefined): string[] {
  return testRoots
    .filter((root) => existsSync(root))
    .flatMap((root) =>
      readdirSync(root, { recursive: true, encoding: "utf8" })
        .map((file) => join(root, file))
    )
    .filter((file) => file.endsWith(testFileSuffix))
    .filter((file) => filter === undefined || file.includes(filter))
    .sort();
}

interface FileResult {
  readonly passedCount: number;
  readonly failedCount: number;
}

/** Runs one file in a separate process, since uvu's suites are global to a process. */
function runTestFile(file: string): Promise<FileResult> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ["--import", "tsx", file], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    let output = "";
    child.stdout.on("data", (chunk) => output += String(chunk));
    child.on("close", (exitCode) => {
      const totalCount = readCount(output, "Total");
      const passedCount = readCount(output, "Passed");
      const crashedCount = exitCode !== 0 && totalCount === passedCount ? 1 : 0;
      const failedCount = totalCount - passedCount + crashedCount;
      console.log(`${failedCount === 0 ? "ok  " : "FAIL"} ${file}`);
      if (failedCount > 0 || output.includes("KNOWN RED")) console.log(output);
      resolve({ passedCount, failedCount });
    });
  });
}

/** Reads a count from uvu's summary; returns 0 if it is missing. */
function readCount(output: string, label: string): number {
  // deno-lint-ignore no-control-regex
  const plainOutput = output.replace(/\u001b\[[0-9;]*m/g, "");
  return Number(new RegExp(`${label}:\\s+(\\d+)`).exec(plainOutput)?.[1] ?? 0);
}

const concurrentFileCount = 4;
const files = listTestFiles(process.argv[2]);
const results: FileResult[] = [];

/** Runs files from the shared list until it is empty. */
async function runRemainingFiles(): Promise<void> {
  for (;;) {
    const file = files.shift();
    if (file === undefined) return;
    results.push(await runTestFile(file));
  }
}

await Promise.all(
  Array.from({ length: concurrentFileCount }, runRemainingFiles),
);
const passedCount = results.reduce((sum, r) => sum + r.passedCount, 0);
const failedCount = results.reduce((sum, r) => sum + r.failedCount, 0);
console.log(`${passedCount} passed, ${failedCount} failed`);
process.exitCode = failedCount > 0 || passedCount === 0 ? 1 : 0;
