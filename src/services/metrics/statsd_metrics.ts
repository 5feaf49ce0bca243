/**
 * Counters and histograms, kept in memory for the operators' tool and sent to
 * a StatsD collector by hot-shots when an address is configured.
 */
import { build, type Histogram } from "hdr-histogram-js";
import { StatsD } from "hot-shots";
import type { RequestClass } from "../../types/enums.ts";
import {
  type CounterName,
  type HistogramSummary,
  Metrics,
  type TimingName,
} from "./metrics.ts";

const highestTrackedUs = 600_000_000;
const microsecondsPerMs = 1_000;

/** Where to send metrics; nothing is sent when the address is undefined. */
export interface StatsdMetricsOptions {
  /** `host:port` of the collector. */
  readonly address: string | undefined;
  readonly daemonId: string;
}

interface LabelledHistogram {
  readonly timing: TimingName;
  readonly customer: string;
  readonly requestClass: RequestClass;
  readonly histogram: Histogram;
}

/** Metrics in memory and over StatsD. */
export class StatsdMetrics extends Metrics {
  readonly #counters = new Map<string, number>();
  readonly #histograms = new Map<string, LabelledHistogram>();
  readonly #client: StatsD | undefined;

  constructor(options: StatsdMetricsOptions) {
    super();
    this.#client = options.address === undefined
      ? undefined
      : createClient(options.address, options.daemonId);
  }

  override stop(): Promise<void> {
    const client = this.#client;
    if (client === undefined) return Promise.resolve();
    return new Promise((resolve) => client.close(() => resolve()));
  }

  override count(name: CounterName, tag?: string, by = 1): void {
    const fullName = tag === undefined ? name : `${name}{${tag}}`;
    this.#counters.set(fullName, (this.#counters.get(fullName) ?? 0) + by);
    this.#client?.increment(
      name,
      by,
      tag === undefined ? [] : [`cause:${tag}`],
    );
  }

  override record(
    timing: TimingName,
    durationMs: number,
    labels: { readonly customer: string; readonly requestClass: RequestClass },
  ): void {
    const durationUs = Math.round(durationMs * microsecondsPerMs);
    this.#histogramOf(timing, labels)
      .recordValue(Math.min(Math.max(durationUs, 1), highestTrackedUs));
    this.#client?.histogram(timing, durationMs, [
      `customer:${labels.customer}`,
      `class:${labels.requestClass}`,
    ]);
  }

  override counters(): ReadonlyMap<string, number> {
    return this.#counters;
  }

  override histograms(): readonly HistogramSummary[] {
    return [...this.#histograms.values()].map(summarize);
  }

  #histogramOf(
    timing: TimingName,
    labels: { readonly customer: string; readonly requestClass: RequestClass },
  ): Histogram {
    const name = `${timing}/${labels.customer}/${labels.requestClass}`;
    const known = this.#histograms.get(name);
    if (known !== undefined) return known.histogram;
    const histogram = build({
      highestTrackableValue: highestTrackedUs,
      numberOfSignificantValueDigits: 2,
    });
    this.#histograms.set(name, { timing, ...labels, histogram });
    return histogram;
  }
}

function createClient(address: string, daemonId: string): StatsD {
  const [host, port] = address.split(":");
  return new StatsD({
    host: host ?? "127.0.0.1",
    port: Number(port),
    prefix: "skylarkridge.",
    globalTags: { daemon: daemonId },
    maxBufferSize: 1_400,
    bufferFlushInterval: 1_000,
    errorHandler: () => {},
  });
}

function summarize(labelled: LabelledHistogram): HistogramSummary {
  const { histogram, timing, customer, requestClass } = labelled;
  function quantileMs(percentile: number): number {
    return histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
  }
  return {
    timing,
    customer,
    requestClass,
    count: histogram.totalCount,
    p50Ms: quantileMs(50),
    p90Ms: quantileMs(90),
    p99Ms: quantileMs(99),
    maxMs: histogram.maxValue / microsecondsPerMs,
  };
}
