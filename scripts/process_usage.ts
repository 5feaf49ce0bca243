/** Reads the processor time and the memory of a process from /proc. */
import { readFileSync } from "node:fs";

const clockTicksPerSecond = 100;
const msPerSecond = 1_000;
const kilobytesPerMegabyte = 1_024;

/** Processor time since the process started, and its current resident memory. */
export interface ProcessUsage {
  readonly processorMs: number;
  readonly residentMegabytes: number;
}

/** Reads the usage of a process; throws if the process has ended. */
export function readProcessUsage(processId: number): ProcessUsage {
  const stat = readFileSync(`/proc/${processId}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const status = readFileSync(`/proc/${processId}/status`, "utf8");
  const residentKilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  const tickCount = Number(fields[11]) + Number(fields[12]);
  return {
    processorMs: tickCount * msPerSecond / clockTicksPerSecond,
    residentMegabytes: residentKilobytes / kilobytesPerMegabyte,
  };
}
