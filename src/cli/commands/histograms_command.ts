/**
 * `histograms`: wait, service and total time of each customer and class. The
 * counts are summed over the daemons. Quantiles of different daemons cannot be
 * merged exactly, so each quantile is the highest that any daemon reports.
 */
import {
  type Histogram,
  OperatorService,
} from "../../gen/skylarkridge/v1/operator_pb.ts";
import {
  collectValues,
  Command,
  type CommandContext,
  printResult,
  reportMissingAnswers,
} from "../command.ts";
import type { ToolExitCode } from "../exit_code.ts";
import { formatTable } from "../table.ts";

const shownDecimalCount = 1;

/** One histogram, merged over the fleet. */
interface FleetHistogram {
  readonly timing: string;
  readonly customer: string;
  readonly requestClass: string;
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

export class HistogramsCommand extends Command {
  override readonly name = "histograms";
  override readonly usage = "";
  override readonly summary =
    "times by customer and class; quantiles of the slowest daemon";
  override readonly minArgumentCount = 0;
  override readonly maxArgumentCount = 0;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const answers = await context.fleet.callAll(
      OperatorService,
      (client) => client.listHistograms({}),
    );
    const histograms = collectValues(answers)
      .flatMap(({ value }) => value.histograms);
    const merged = mergeHistograms(histograms);
    printResult(context, merged, { render: formatHistograms });
    return reportMissingAnswers(context, answers);
  }
}

function mergeHistograms(histograms: readonly Histogram[]): FleetHistogram[] {
  const merged = new Map<string, FleetHistogram>();
  for (const histogram of histograms) {
    const { customer, requestClass, timing } = histogram;
    const name = `${customer}/${requestClass}/${timing}`;
    merged.set(name, mergeHistogram(merged.get(name), histogram));
  }
  return [...merged.entries()]
    .sort(([a], [b]) => a < b ? -1 : 1)
    .map(([, histogram]) => histogram);
}

function mergeHistogram(
  known: FleetHistogram | undefined,
  added: Histogram,
): FleetHistogram {
  return {
    timing: added.timing,
    customer: added.customer,
    requestClass: added.requestClass,
    count: (known?.count ?? 0) + Number(added.count),
    p50Ms: Math.max(known?.p50Ms ?? 0, added.p50Ms),
    p90Ms: Math.max(known?.p90Ms ?? 0, added.p90Ms),
    p99Ms: Math.max(known?.p99Ms ?? 0, added.p99Ms),
    maxMs: Math.max(known?.maxMs ?? 0, added.maxMs),
  };
}

function formatHistograms(histograms: readonly FleetHistogram[]): string[] {
  if (histograms.length === 0) return ["no histograms have been recorded"];
  const columns = [
    { title: "CUSTOMER" },
    { title: "CLASS" },
    { title: "TIMING" },
    { title: "COUNT", isNumeric: true },
    { title: "P50 MS", isNumeric: true },
    { title: "P90 MS", isNumeric: true },
    { title: "P99 MS", isNumeric: true },
    { title: "MAX MS", isNumeric: true },
  ];
  const rows = histograms.map((histogram) => [
    histogram.customer,
    histogram.requestClass,
    histogram.timing,
    String(histogram.count),
    histogram.p50Ms.toFixed(shownDecimalCount),
    histogram.p90Ms.toFixed(shownDecimalCount),
    histogram.p99Ms.toFixed(shownDecimalCount),
    histogram.maxMs.toFixed(shownDecimalCount),
  ]);
  return formatTable(columns, rows);
}
