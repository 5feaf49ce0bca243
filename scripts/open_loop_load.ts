/**
 * Open-loop load: requests are scheduled by a Poisson process, whether or not
 * earlier requests were answered. Latency is measured from the scheduled
 * instant, so that neither a slow answer nor a late start is hidden
 * (coordinated omission).
 */
import { createHistogram, type RecordableHistogram } from "node:perf_hooks";
import type { Clock } from "../src/host/clock.ts";
import type { RandomSource } from "../src/host/random_source.ts";

/** The outcome of one request as its caller sees it. */
export enum LoadOutcome {
  Answered = "answered",
  Refused = "refused",
  Failed = "failed",
}

/** Sends one request; never rejects. */
export abstract class LoadTarget {
  abstract send(): Promise<LoadOutcome>;
}

/** The target, the rate and the duration of a load. */
export interface LoadOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly target: LoadTarget;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
}

/** Results of the requests that were scheduled in one second of the load. */
export interface LoadSecond {
  readonly second: number;
  readonly answeredCount: number;
  readonly otherCount: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** The result of a load. */
export interface LoadReport {
  readonly requestCount: number;
  readonly countByOutcome: Readonly<Record<LoadOutcome, number>>;
  readonly durationMs: number;
  readonly latencyMs: LatencySummary;
  readonly seconds: readonly LoadSecond[];
}

/** Latency quantiles of the answered requests, in milliseconds. */
export interface LatencySummary {
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

const microsecondsPerMs = 1_000;
const highestLatencyMs = 120_000;
const millisecondsPerSecond = 1_000;

/** Creates a histogram that counts latencies in microseconds. */
export function createLatencyHistogram(): RecordableHistogram {
  return createHistogram({
    highest: highestLatencyMs * microsecondsPerMs,
    figures: 3,
  });
}

/** Records one latency; values outside the histogram's range are clamped. */
export function recordLatency(
  histogram: RecordableHistogram,
  latencyMs: number,
): void {
  const boundedMs = Math.min(Math.max(latencyMs, 0), highestLatencyMs);
  histogram.record(Math.max(1, Math.round(boundedMs * microsecondsPerMs)));
}

/** Returns the quantiles in milliseconds. */
export function summarizeLatency(
  histogram: RecordableHistogram,
): LatencySummary {
  const percentileMs = (percentile: number) =>
    histogram.percentile(percentile) / microsecondsPerMs;
  return {
    p50: percentileMs(50),
    p90: percentileMs(90),
    p99: percentileMs(99),
    p999: percentileMs(99.9),
    max: histogram.max / microsecondsPerMs,
  };
}

/** The counters of the requests that were scheduled in one second of the load. */
interface SecondCounters {
  readonly histogram: RecordableHistogram;
  answeredCount: number;
  otherCount: number;
}

/** Sends load to a target. */
export class OpenLoopLoad {
  readonly #options: LoadOptions;
  readonly #histogram = createLatencyHistogram();
  readonly #seconds: SecondCounters[] = [];
  readonly #countByOutcome = {
    [LoadOutcome.Answered]: 0,
    [LoadOutcome.Refused]: 0,
    [LoadOutcome.Failed]: 0,
  };
  #requestCount = 0;

  constructor(options: LoadOptions) {
    this.#options = options;
  }

  /** Returns the number of requests started so far. */
  requestCount(): number {
    return this.#requestCount;
  }

  /** Returns the number of requests answered so far. */
  answeredCount(): number {
    return this.#countByOutcome[LoadOutcome.Answered];
  }

  /** Sends the whole load; resolves when every request has ended. */
  async run(): Promise<LoadReport> {
    const { clock, durationMs } = this.#options;
    const startedAtMs = clock.nowMs();
    const running = new Set<Promise<void>>();
    let scheduledOffsetMs = this.#nextInterarrivalMs();
    while (scheduledOffsetMs < durationMs) {
      const waitMs = startedAtMs + scheduledOffsetMs - clock.nowMs();
      if (waitMs > 0) await clock.sleep(waitMs);
      const call = this.#sendRequest(startedAtMs, scheduledOffsetMs);
      running.add(call);
      call.then(() => running.delete(call));
      scheduledOffsetMs += this.#nextInterarrivalMs();
    }
    await Promise.all(running);
    return this.#createReport(clock.nowMs() - startedAtMs);
  }

  async #sendRequest(
    startedAtMs: number,
    scheduledOffsetMs: number,
  ): Promise<void> {
    this.#requestCount += 1;
    const outcome = await this.#options.target.send();
    const { clock } = this.#options;
    const latencyMs = clock.nowMs() - startedAtMs - scheduledOffsetMs;
    this.#countByOutcome[outcome] += 1;
    const second = this.#secondOf(scheduledOffsetMs);
    if (outcome !== LoadOutcome.Answered) {
      second.otherCount += 1;
      return;
    }
    second.answeredCount += 1;
    recordLatency(this.#histogram, latencyMs);
    recordLatency(second.histogram, latencyMs);
  }

  #nextInterarrivalMs(): number {
    const { random, requestsPerSecond } = this.#options;
    const meanInterarrivalMs = millisecondsPerSecond / requestsPerSecond;
    return -Math.log(1 - random.nextFraction()) * meanInterarrivalMs;
  }

  #secondOf(scheduledOffsetMs: number): SecondCounters {
    const index = Math.floor(scheduledOffsetMs / millisecondsPerSecond);
    while (this.#seconds.length <= index) {
      this.#seconds.push({
        histogram: createLatencyHistogram(),
        answeredCount: 0,
        otherCount: 0,
      });
    }
    return this.#seconds[index]!;
  }

  #createReport(durationMs: number): LoadReport {
    return {
      requestCount: this.#requestCount,
      countByOutcome: { ...this.#countByOutcome },
      durationMs,
      latencyMs: summarizeLatency(this.#histogram),
      seconds: this.#seconds.map((counters, second) => {
        const { p50, p99 } = summarizeLatency(counters.histogram);
        return {
          second,
          answeredCount: counters.answeredCount,
          otherCount: counters.otherCount,
          p50Ms: p50,
          p99Ms: p99,
        };
      }),
    };
  }
}
