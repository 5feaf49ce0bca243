/** The traces that are committed under `traces/`, with their scenarios, seeds and sizes. */
import { LimaDawn } from "./lima_dawn.ts";
import { PuddlewatchStorm } from "./puddlewatch_storm.ts";
import type { TraceScenario, TraceSize } from "./trace_scenario.ts";

/** A committed trace and the arguments with which it was generated. */
export interface Recording {
  readonly file: string;
  readonly scenario: TraceScenario;
  readonly size: TraceSize;
}

/** Lists every committed trace. */
export function listRecordings(): readonly Recording[] {
  const size = {
    durationMs: 60_000,
    requestsPerSecond: 25,
    keyCount: 2_000,
    daemonCount: 3,
  };
  return [
    {
      file: "traces/lima_dawn.jsonl",
      scenario: new LimaDawn(),
      size: { ...size, seed: 5_501 },
    },
    {
      file: "traces/puddlewatch_storm.jsonl",
      scenario: new PuddlewatchStorm(),
      size: { ...size, seed: 5_502, daemonCount: 5 },
    },
  ];
}
