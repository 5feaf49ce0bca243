/** Runs a case: writes its record, ends what it started, and exits with the verdict. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { Deployment } from "./deployment.ts";
import type { Upstream } from "./upstream.ts";

/** The exit codes of a case. */
export enum Verdict {
  Held = 0,
  Broken = 1,
  CouldNotRun = 2,
}

/** What the body of a case works with. */
export interface CaseContext {
  readonly deployment: Deployment;
  /** Closed when the case ends. */
  readonly upstreams: Upstream[];
  /** False for the run without the disruption. */
  readonly hasTrouble: boolean;
  /** Adds a line to the record. */
  readonly note: (line: string) => void;
}

/** Longest time that a case may take, which is less than it is given. */
const limitMs = 100_000;

/** Runs a case whose files are in a folder of `review/`. */
export async function runCase(
  folder: string,
  body: (context: CaseContext) => Promise<Verdict>,
): Promise<never> {
  const startedAtMs = performance.now();
  const lines: string[] = [];
  const note = (line: string) => {
    const atMs = (performance.now() - startedAtMs).toFixed(0);
    lines.push(`${atMs.padStart(6)} ms  ${line}`);
  };
  const deployment = new Deployment();
  const upstreams: Upstream[] = [];
  const end = async (verdict: Verdict): Promise<never> => {
    note(`verdict: ${Verdict[verdict]}`);
    for (const upstream of upstreams) upstream.close();
    await deployment.stop();
    writeFileSync(
      join("review", folder, "record.txt"),
      lines.join("\n") + "\n",
    );
    console.log(lines.slice(-8).join("\n"));
    process.exit(verdict);
  };
  const timer = setTimeout(() => {
    note("the case took too long");
    void end(Verdict.CouldNotRun);
  }, limitMs);
  const hasTrouble = process.env.TROUBLE !== "0";
  note(hasTrouble ? "with the disruption" : "without the disruption");
  try {
    const verdict = await body({ deployment, upstreams, hasTrouble, note });
    clearTimeout(timer);
    return await end(verdict);
  } catch (error) {
    clearTimeout(timer);
    note(`could not run: ${error instanceof Error ? error.stack : error}`);
    return await end(Verdict.CouldNotRun);
  }
}
