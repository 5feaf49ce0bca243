/**
 * Compares the placements on the same traces: imbalance, churn, unavailable
 * time, and a cost weighted for each customer. All figures are counts, so the
 * result is the same on every run.
 */
import {
  createHashFunction,
  type HashFunction,
} from "../src/hashing/key_hash.ts";
import type { Placement } from "../src/services/ownership/placement.ts";
import { BoundedLoadPlacement } from "../src/services/ownership/placement_bounded_load.ts";
import { MinimumMovePlacement } from "../src/services/ownership/placement_minimum_move.ts";
import { RendezvousPlacement } from "../src/services/ownership/placement_rendezvous.ts";
import { generateTrace } from "../src/traces/generate_trace.ts";
import { LimaDawn } from "../src/traces/lima_dawn.ts";
import { PuddlewatchStorm } from "../src/traces/puddlewatch_storm.ts";
import type { TraceScenario } from "../src/traces/trace_scenario.ts";
import { formatTable } from "../src/plots/text_table.ts";
import { Bench, BoundKind, type Figure } from "./bench.ts";
import {
  measurePlacement,
  type MoveModel,
  type PlacementMeasures,
} from "./placement_model.ts";

const traceSize = {
  seed: 9_001,
  durationMs: 300_000,
  requestsPerSecond: 3_000,
  keyCount: 20_000,
  daemonCount: 12,
};
const moveModel: MoveModel = {
  moveDurationMs: 400,
  recoveryDurationMs: 2_500,
  moveBudget: 1,
};
const targetImbalance = 1.1;

/** The relative weights of the measures for one customer. */
interface MeasureWeights {
  readonly imbalance: number;
  readonly churn: number;
  readonly unavailableTime: number;
}

interface Workload {
  readonly scenario: TraceScenario;
  readonly weights: MeasureWeights;
}

const workloads: readonly Workload[] = [
  {
    scenario: new LimaDawn(),
    weights: { imbalance: 1, churn: 3, unavailableTime: 2 },
  },
  {
    scenario: new PuddlewatchStorm(),
    weights: { imbalance: 1, churn: 1, unavailableTime: 3 },
  },
];

/** The measures of one placement over all services of a trace. */
interface PlacementSummary {
  readonly name: string;
  readonly meanImbalance: number;
  readonly worstImbalance: number;
  readonly movedKeyCount: number;
  readonly movedKeysToMinimumRatio: number;
  readonly unavailableKeySeconds: number;
  readonly unavailableRequestPermille: number;
}

/** The placement that daemons use by default. */
const defaultPlacementName = "minimum move";

function createPlacements(): ReadonlyMap<string, Placement> {
  return new Map<string, Placement>([
    ["rendezvous", new RendezvousPlacement()],
    ["bounded load", new BoundedLoadPlacement()],
    [defaultPlacementName, new MinimumMovePlacement()],
  ]);
}

/** Compares three placements on the workload of each customer. */
export class PlacementBench extends Bench {
  override readonly name = "placement";
  override readonly summary =
    "imbalance, churn and unavailable time of three placements, counted on " +
    "generated traces";
  override readonly isRepeatable = true;

  override async run(
    print: (line: string) => void,
  ): Promise<readonly Figure[]> {
    const hash = await createHashFunction();
    return workloads.flatMap((workload) =>
      compareOn(workload, createPlacements(), { hash, print })
    );
  }
}

function compareOn(
  { scenario, weights }: Workload,
  placements: ReadonlyMap<string, Placement>,
  { hash, print }: {
    readonly hash: HashFunction;
    readonly print: (line: string) => void;
  },
): readonly Figure[] {
  const trace = generateTrace(scenario, traceSize);
  const summaries = [...placements].map(([name, placement]) =>
    summarize(
      name,
      measurePlacement(trace, { placement, hash, model: moveModel }),
    )
  );
  const costs = computeCosts(summaries, weights);
  print(`${scenario.name}: ${trace.events.length} events`);
  formatTable(createRows(summaries, costs)).forEach(print);
  const index = summaries.findIndex((s) => s.name === defaultPlacementName);
  const balancedCosts = costs.filter((_, other) =>
    other === index || summaries[other]!.meanImbalance <= targetImbalance
  );
  return createFigures(scenario.name, summaries[index]!, {
    costToBestRatio: costs[index]! / Math.min(...balancedCosts),
  });
}

function summarize(
  name: string,
  measures: readonly PlacementMeasures[],
): PlacementSummary {
  const windows = measures.flatMap((m) => m.imbalanceByWindow);
  const sum = (read: (m: PlacementMeasures) => number) =>
    measures.reduce((total, m) => total + read(m), 0);
  const movedKeyCount = sum((m) => m.movedKeyCount);
  return {
    name,
    meanImbalance: windows.reduce((total, w) => total + w, 0) / windows.length,
    worstImbalance: Math.max(...windows),
    movedKeyCount,
    movedKeysToMinimumRatio: movedKeyCount / sum((m) => m.minimumMovedKeyCount),
    unavailableKeySeconds: sum((m) => m.unavailableKeySeconds),
    unavailableRequestPermille: sum((m) => m.unavailableRequestFraction) *
      1_000 /
      measures.length,
  };
}

/** Weighted mean of each measure relative to its best value; 1 means best in every measure. */
function computeCosts(
  summaries: readonly PlacementSummary[],
  weights: MeasureWeights,
): readonly number[] {
  const best = (read: (s: PlacementSummary) => number) =>
    Math.min(...summaries.map(read));
  const bestImbalance = best((s) => s.meanImbalance);
  const bestMoves = best((s) => s.movedKeyCount);
  const bestUnavailable = best((s) => s.unavailableKeySeconds);
  const totalWeight = weights.imbalance + weights.churn +
    weights.unavailableTime;
  return summaries.map((s) =>
    (weights.imbalance * s.meanImbalance / bestImbalance +
      weights.churn * s.movedKeyCount / bestMoves +
      weights.unavailableTime * s.unavailableKeySeconds / bestUnavailable) /
    totalWeight
  );
}

function createRows(
  summaries: readonly PlacementSummary[],
  costs: readonly number[],
): readonly (readonly string[])[] {
  const heading = [
    "placement",
    "imbalance mean",
    "worst",
    "moved keys",
    "over minimum",
    "unavailable key s",
    "requests ‰",
    "weighted cost",
  ];
  const rows = summaries.map((s, index) => [
    s.name,
    s.meanImbalance.toFixed(3),
    s.worstImbalance.toFixed(3),
    String(s.movedKeyCount),
    s.movedKeysToMinimumRatio.toFixed(2),
    s.unavailableKeySeconds.toFixed(0),
    s.unavailableRequestPermille.toFixed(3),
    costs[index]!.toFixed(2),
  ]);
  return [heading, ...rows];
}

function createFigures(
  trace: string,
  summary: PlacementSummary,
  { costToBestRatio }: { readonly costToBestRatio: number },
): readonly Figure[] {
  const prefix = `${trace}, ${summary.name}`;
  return [
    {
      name: `${prefix}: mean imbalance over the best possible`,
      value: summary.meanImbalance,
      unit: "",
      bound: { kind: BoundKind.AtMost, value: targetImbalance },
    },
    {
      name: `${prefix}: moved keys over the minimum of joins and losses`,
      value: summary.movedKeysToMinimumRatio,
      unit: "",
      bound: undefined,
    },
    {
      name:
        `${prefix}: weighted cost over the best placement within the imbalance bound`,
      value: costToBestRatio,
      unit: "",
      bound: { kind: BoundKind.AtMost, value: 1 },
    },
  ];
}
