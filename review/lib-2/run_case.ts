/**
 * Runs one case: exits with 1 if the rule was broken, with 0 if it held, and
 * with 2 if the case could not run. Everything that it started is ended before.
 */
import { Deployment } from "./deployment.ts";
import { Record } from "./record.ts";
import type { Upstream } from "./upstream.ts";

/** A case is given up after this time, before the limit of 120 seconds. */
const limitMs = 110_000;

/** What a case works with. */
export interface CaseContext {
  readonly record: Record;
  readonly deployment: Deployment;
  /** Closed at the end. */
  readonly upstreams: Upstream[];
  /** Whether the disruption takes place; false with `TROUBLE=0`. */
  readonly hasTrouble: boolean;
}

/** Runs `body`, which resolves with whether the rule was broken. */
export async function runCase(
  body: (context: CaseContext) => Promise<boolean>,
): Promise<never> {
  const [recordPath] = process.argv.slice(2);
  if (recordPath === undefined) {
    console.error("the path of the record is missing");
    process.exit(2);
  }
  const record = new Record(recordPath);
  const hasTrouble = process.env.TROUBLE !== "0";
  record.note(hasTrouble ? "with the disruption" : "without the disruption");
  const deployment = new Deployment(record);
  const upstreams: Upstream[] = [];
  let exitCode = 2;
  try {
    await deployment.start();
    const isBroken = await Promise.race([
      body({ record, deployment, upstreams, hasTrouble }),
      failAfter(limitMs),
    ]);
    record.note(isBroken ? "the rule was broken" : "the rule held");
    exitCode = isBroken ? 1 : 0;
  } catch (error) {
    const reason = error instanceof Error ? error.stack : String(error);
    record.note(`the case could not run: ${reason}`);
    console.error(reason);
  }
  for (const upstream of upstreams) upstream.close();
  await deployment.end();
  process.exit(exitCode);
}

function failAfter(durationMs: number): Promise<never> {
  return new Promise((_, reject) => {
    setTimeout(
      () => reject(new Error(`no result after ${durationMs} ms`)),
      durationMs,
    );
  });
}
