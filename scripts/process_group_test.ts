import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import * as assert from "uvu/assert";
import { describe, it } from "../src/testing/describe.ts";

/** Creates a program that starts another program, prints its process id, and keeps running. */
function createParentProgram(sleeperPath: string): string {
  return `
import { ProcessGroup, ProgramForm } from "./scripts/process_group.ts";
const { child } = new ProcessGroup(ProgramForm.Bundled).start("sleeper", {
  program: ${JSON.stringify(sleeperPath)},
  environment: {},
});
console.log(child.pid);
setInterval(() => {}, 1_000);
`;
}

function isRunning(processId: number): boolean {
  try {
    return process.kill(processId, 0);
  } catch {
    // The process does not exist.
    return false;
  }
}

describe("ProcessGroup", () => {
  it("ends its processes when SIGTERM ends the parent process", async () => {
    const folder = mkdtempSync(join(tmpdir(), "skylarkridge-"));
    const sleeperPath = join(folder, "sleeper.cjs");
    writeFileSync(sleeperPath, "setInterval(() => {}, 1_000);");
    const program = createParentProgram(sleeperPath);
    const parent = spawn(
      process.execPath,
      ["--import", "tsx", "--input-type=module", "--eval", program],
      { stdio: ["ignore", "pipe", "inherit"] },
    );
    const [output] = await once(parent.stdout, "data");
    const childId = Number(output);
    assert.ok(isRunning(childId));
    parent.kill("SIGTERM");
    await once(parent, "exit");
    for (let i = 0; i < 100 && isRunning(childId); i++) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    rmSync(folder, { recursive: true });
    assert.is(isRunning(childId), false);
  });
});
