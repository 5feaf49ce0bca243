/**
 * Measures the control traffic of an idle fleet, on virtual time: calls between
 * daemons, bytes of their messages (without HTTP headers), and reads and
 * writes of the table. Prints a line for each fleet size and the slope of each
 * figure. The counts do not depend on the speed of the machine. Fleet sizes can
 * be given as arguments.
 */
import { fileURLToPath } from "node:url";
import { findCoordinator } from "../src/testing/fleet_queries.ts";
import { TestFleet } from "../src/testing/test_fleet.ts";

const controlRowKinds: readonly string[] = [
  "coordinator",
  "members",
  "assignment",
  "challenge",
];
const measuredMs = 10_000;
const seed = 61;
const benchDaemonCounts: readonly number[] = [3, 6, 12, 24, 48];

/** The control traffic of a fleet. */
export interface ControlCost {
  readonly daemonCount: number;
  /** Mean number of calls that a daemon makes. */
  readonly callsPerDaemonSecond: number;
  /** Mean number of bytes that a daemon sends and receives. */
  readonly bytesPerDaemonSecond: number;
  /** Bytes that the coordinator sends and receives. */
  readonly coordinatorBytesPerSecond: number;
  /** Bytes that the busiest daemon other than the coordinator sends and receives. */
  readonly busiestBytesPerSecond: number;
  /** Reads of the table by the whole fleet. */
  readonly tableReadsPerSecond: number;
  /** Writes of the table by the whole fleet. */
  readonly tableWritesPerSecond: number;
}

/** Runs an idle fleet and counts its control traffic. */
export async function measureControlCost(
  daemonCount: number,
): Promise<ControlCost> {
  const fleet = new TestFleet({ seed, daemonCount, serverCount: 12 });
  await fleet.start();
  await fleet.clock.advance(measuredMs);
  const coordinator = findCoordinator(fleet).address;
  const { network, platform } = fleet;
  const before = {
    callCount: sum(network.callCounts),
    byteCount: sum(network.byteCounts),
    byteCounts: new Map(network.byteCounts),
    readCount: countControlRows(platform.readCounts),
    writeCount: countControlRows(platform.writeCounts),
  };
  await fleet.clock.advance(measuredMs);
  const seconds = measuredMs / 1_000;
  const perSecond = (count: number) => count / seconds;
  const bytesOf = (address: string) =>
    perSecond(
      (network.byteCounts.get(address) ?? 0) -
        (before.byteCounts.get(address) ?? 0),
    );
  const others = fleet.daemons.map(({ address }) => address)
    .filter((address) => address !== coordinator);
  const cost: ControlCost = {
    daemonCount,
    callsPerDaemonSecond:
      perSecond(sum(network.callCounts) - before.callCount) /
      daemonCount,
    bytesPerDaemonSecond:
      perSecond(sum(network.byteCounts) - before.byteCount) /
      daemonCount,
    coordinatorBytesPerSecond: bytesOf(coordinator),
    busiestBytesPerSecond: Math.max(...others.map(bytesOf)),
    tableReadsPerSecond: perSecond(
      countControlRows(platform.readCounts) - before.readCount,
    ),
    tableWritesPerSecond: perSecond(
      countControlRows(platform.writeCounts) - before.writeCount,
    ),
  };
  await fleet.stop();
  return cost;
}

/** Least-squares slope of a figure over the number of daemons. */
export function fitSlope(
  costs: readonly ControlCost[],
  getFigure: (cost: ControlCost) => number,
): number {
  const meanX = mean(costs.map((c) => c.daemonCount));
  const meanY = mean(costs.map(getFigure));
  const squaredOffsets = costs.map((c) => (c.daemonCount - meanX) ** 2);
  const offsetProducts = costs.map((c) =>
    (c.daemonCount - meanX) * (getFigure(c) - meanY)
  );
  return mean(offsetProducts) / mean(squaredOffsets);
}

interface Column {
  readonly title: string;
  readonly getFigure: (cost: ControlCost) => number;
}

const columns: readonly Column[] = [
  { title: "calls/daemon/s", getFigure: (c) => c.callsPerDaemonSecond },
  { title: "bytes/daemon/s", getFigure: (c) => c.bytesPerDaemonSecond },
  { title: "coord bytes/s", getFigure: (c) => c.coordinatorBytesPerSecond },
  { title: "busiest other", getFigure: (c) => c.busiestBytesPerSecond },
  { title: "reads/s (fleet)", getFigure: (c) => c.tableReadsPerSecond },
  { title: "writes/s (fleet)", getFigure: (c) => c.tableWritesPerSecond },
];

const columnWidth = 18;

function formatRow(label: string, figures: readonly number[]): string {
  const cells = figures.map((figure) =>
    figure.toFixed(2).padStart(columnWidth)
  );
  return label.padStart(8) + cells.join("");
}

async function main(): Promise<void> {
  const titles = columns.map(({ title }) => title.padStart(columnWidth));
  console.log("daemons".padStart(8) + titles.join(""));
  const costs: ControlCost[] = [];
  const requested = process.argv.slice(2).map(Number);
  const daemonCounts = requested.length > 0 ? requested : benchDaemonCounts;
  for (const daemonCount of daemonCounts) {
    const cost = await measureControlCost(daemonCount);
    costs.push(cost);
    const figures = columns.map(({ getFigure }) => getFigure(cost));
    console.log(formatRow(String(daemonCount), figures));
  }
  if (costs.length < 2) return;
  const slopes = columns.map(({ getFigure }) => fitSlope(costs, getFigure));
  console.log(formatRow("slope", slopes));
}

/** Number of reads or writes of control rows, without the rows of the lists. */
function countControlRows(counts: ReadonlyMap<string, number>): number {
  return controlRowKinds
    .reduce((total, kind) => total + (counts.get(kind) ?? 0), 0);
}

function sum(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((total, count) => total + count, 0);
}

function mean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main();
