/**
 * Measures the processor time and resident memory of an idle daemon process, for
 * several fleet sizes on this machine, with the fitted slope over the number of
 * daemons. Reads the figures from /proc. Fleet sizes can be given as arguments.
 * Run by hand; the figures depend on the machine.
 */
import { setTimeout as delay } from "node:timers/promises";
import { DemoFleet } from "../scripts/demo_fleet.ts";
import { readProcessUsage } from "../scripts/process_usage.ts";

const defaultDaemonCounts: readonly number[] = [3, 6, 12, 24];
const settleMs = 8_000;
const measuredMs = 15_000;
const serverCountByService = { confirmation: 2, roster: 4, "flood-map": 4 };

/** Mean and maximum over the daemons of a fleet. */
interface FleetCost {
  readonly daemonCount: number;
  readonly meanCorePercent: number;
  readonly maxCorePercent: number;
  readonly meanMegabytes: number;
}

async function measureFleet(daemonCount: number): Promise<FleetCost> {
  const fleet = new DemoFleet({ daemonCount, serverCountByService });
  try {
    await fleet.start();
    await delay(settleMs);
    const ids = fleet.daemons.map(({ started }) => started.child.pid!);
    const before = ids.map(readProcessUsage);
    await delay(measuredMs);
    const after = ids.map(readProcessUsage);
    const percents = after.map((use, index) =>
      toCorePercent(use.processorMs - before[index]!.processorMs)
    );
    return {
      daemonCount,
      meanCorePercent: mean(percents),
      maxCorePercent: Math.max(...percents),
      meanMegabytes: mean(after.map((use) => use.residentMegabytes)),
    };
  } finally {
    await fleet.stop();
  }
}

function toCorePercent(processorMs: number): number {
  return processorMs / measuredMs * 100;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Least-squares slope of a figure over the number of daemons. */
function fitSlope(
  costs: readonly FleetCost[],
  getFigure: (cost: FleetCost) => number,
): number {
  const meanCount = mean(costs.map((cost) => cost.daemonCount));
  const meanFigure = mean(costs.map(getFigure));
  let covariance = 0;
  let variance = 0;
  for (const cost of costs) {
    const offset = cost.daemonCount - meanCount;
    covariance += offset * (getFigure(cost) - meanFigure);
    variance += offset * offset;
  }
  return covariance / variance;
}

const requested = process.argv.slice(2).map(Number);
const daemonCounts = requested.length > 0 ? requested : defaultDaemonCounts;
const costs: FleetCost[] = [];
console.log("daemons  core % mean  core % max  resident MB");
for (const daemonCount of daemonCounts) {
  const cost = await measureFleet(daemonCount);
  costs.push(cost);
  console.log([
    String(daemonCount).padStart(7),
    cost.meanCorePercent.toFixed(2).padStart(11),
    cost.maxCorePercent.toFixed(2).padStart(11),
    cost.meanMegabytes.toFixed(0).padStart(12),
  ].join(" "));
}
if (costs.length > 1) {
  console.log([
    "  slope",
    fitSlope(costs, (cost) => cost.meanCorePercent).toFixed(4).padStart(11),
    fitSlope(costs, (cost) => cost.maxCorePercent).toFixed(4).padStart(11),
    fitSlope(costs, (cost) => cost.meanMegabytes).toFixed(2).padStart(12),
  ].join(" "));
}
