/**
 * Keeps counters and histograms in memory for the operators' tool, and sends
 * them to a StatsD collector with hot-shots if an address is configured.
 */
import { createHistogram, type RecordableHistogram } from "node:perf_hooks";
import { StatsD } from "hot-shots";
import type { RequestClass } from "../../types/enums.ts";
import {
  type CounterName,
  type HistogramSummary,
  Metrics,
  type TimingName,
} from "./metrics.ts";

const maxTagCountPerCounter = 64;
const maxCustomerLabelCount = 200;
/** Label under which all tags or customers beyond the limits are counted. */
const overflowLabel = "other";
const maxRecordedUs = 600_000_000;
/** Makes quantiles accurate to one in a hundred. */
const significantFigures = 2;
const microsecondsPerMillisecond = 1_000;

/** The collector; if its address is undefined, metrics are only kept in memory. */
export interface StatsdMetricsOptions {
  /** `host:port` of the collector. */
  readonly address: string | undefined;
  readonly daemonId: string;
}

interface TaggedCounter {
  readonly countByTag: Map<string, number>;
}

interface LabelledHistogram {
  readonly timing: TimingName;
  readonly customer: string;
  readonly requestClass: RequestClass;
  readonly histogram: RecordableHistogram;
  /** The longest recorded duration, which the histogram would round. */
  maxUs: number;
}

/** Keeps metrics in memory and sends them to StatsD. */
export class StatsdMetrics extends Metrics {
  readonly #counters = new Map<CounterName, TaggedCounter>();
  readonly #customers = new Set<string>();
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
    const { countByTag } = this.#getOrCreateCounter(name);
    const label = boundLabel(tag ?? "", {
      known: countByTag,
      maxCount: maxTagCountPerCounter,
    });
    countByTag.set(label, (countByTag.get(label) ?? 0) + by);
    this.#client?.increment(name, by, label === "" ? [] : [`cause:${label}`]);
  }

  override record(
    timing: TimingName,
    durationMs: number,
    labels: { readonly customer: string; readonly requestClass: RequestClass },
  ): void {
    const customer = this.#boundCustomer(labels.customer);
    const durationUs = Math.round(durationMs * microsecondsPerMillisecond);
    const boundedUs = Math.min(Math.max(durationUs, 1), maxRecordedUs);
    const labelled = this.#getOrCreateHistogram(timing, {
      ...labels,
      customer,
    });
    labelled.histogram.record(boundedUs);
    labelled.maxUs = Math.max(labelled.maxUs, boundedUs);
    this.#client?.histogram(timing, durationMs, [
      `customer:${customer}`,
      `class:${labels.requestClass}`,
    ]);
  }

  override counters(): ReadonlyMap<string, number> {
    const counters = new Map<string, number>();
    for (const [name, { countByTag }] of this.#counters) {
      for (const [tag, count] of countByTag) {
        counters.set(tag === "" ? name : `${name}{${tag}}`, count);
      }
    }
    return counters;
  }

  override histograms(): readonly HistogramSummary[] {
    return [...this.#histograms.values()].map(summarize);
  }

  #getOrCreateCounter(name: CounterName): TaggedCounter {
    const known = this.#counters.get(name);
    if (known !== undefined) return known;
    const counter = { countByTag: new Map<string, number>() };
    this.#counters.set(name, counter);
    return counter;
  }

  /** Limits the number of histograms, since callers can send any customer name. */
  #boundCustomer(customer: string): string {
    const label = boundLabel(customer, {
      known: this.#customers,
      maxCount: maxCustomerLabelCount,
    });
    this.#customers.add(label);
    return label;
  }

  #getOrCreateHistogram(
    timing: TimingName,
    labels: { readonly customer: string; readonly requestClass: RequestClass },
  ): LabelledHistogram {
    const name = `${timing}/${labels.customer}/${labels.requestClass}`;
    const known = this.#histograms.get(name);
    if (known !== undefined) return known;
    const histogram = createHistogram({
      highest: maxRecordedUs,
      figures: significantFigures,
    });
    const labelled = { timing, ...labels, histogram, maxUs: 0 };
    this.#histograms.set(name, labelled);
    return labelled;
  }
}

/** Returns the label, or `overflowLabel` if it is new and the maximum is reached. */
function boundLabel(
  label: string,
  { known, maxCount }: {
    readonly known: { readonly size: number; has(label: string): boolean };
    readonly maxCount: number;
  },
): string {
  if (known.has(label) || known.size < maxCount) return label;
  return overflowLabel;
}

function createClient(address: string, daemonId: string): StatsD {
  const portIndex = address.lastIndexOf(":");
  return new StatsD({
    host: address.slice(0, portIndex),
    port: Number(address.slice(portIndex + 1)),
    prefix: "skylarkridge.",
    globalTags: { daemon: daemonId },
    maxBufferSize: 1_400,
    bufferFlushInterval: 1_000,
    errorHandler: () => {},
  });
}

function summarize(labelled: LabelledHistogram): HistogramSummary {
  const { histogram, timing, customer, requestClass, maxUs } = labelled;
  function quantileMs(percentile: number): number {
    const valueUs = histogram.percentile(percentile);
    return Math.min(valueUs, maxUs) / microsecondsPerMillisecond;
  }
  return {
    timing,
    customer,
    requestClass,
    count: histogram.count,
    p50Ms: quantileMs(50),
    p90Ms: quantileMs(90),
    p99Ms: quantileMs(99),
    maxMs: maxUs / microsecondsPerMillisecond,
  };
}
