/**
 * Adds up what daemons have measured of the servers, compares the servers of
 * each service with each other, and publishes estimates in versions. An
 * estimate is published again only when it has changed by more than a step, so
 * that few bytes pass between daemons.
 */
import { groupBy } from "../../collections/group_by.ts";
import type { ServerEntry } from "../../types/routing.ts";
import type {
  CapacityEstimate,
  CapacityReport,
  CapacityUpdate,
} from "./capacities.ts";
import { bandCount, runningBands } from "./load_band.ts";
import { type SampleLevel, ServerSamples } from "./server_samples.ts";

/** Shortest time between two publications. */
const publishIntervalMs = 1_000;
/** A published estimate is replaced when the new one differs by this fraction. */
const publishStep = 0.12;
/** Estimates are rounded to this many parts of one. */
const quantum = 20;
/** Bounds of a slowness factor. */
const slownessBounds = { min: 0.2, max: 20 };
/** Variance that is assumed of a service before it was measured, and its weight in samples. */
const assumed = { variance: 0.1, sampleCount: 5 };
/** A sample of a variance counts at most this multiple of it, so that a change of a few servers does not raise it. */
const maxSampleFactor = 6;
/** Weight of the newest sample of a variance once there are many. */
const minVarianceWeight = 0.005;
/** Answers without degradation that are mixed into the mean of a service. */
const assumedComparableCount = 20;
/** Weight below which the samples of a server are forgotten, in answers. */
const minSampleCount = 0.01;

interface PooledServer {
  readonly entry: ServerEntry;
  readonly samples: ServerSamples;
  published: CapacityEstimate;
  publishedVersion: number;
  sampledAtMs: number;
}

/** What the servers of one service have in common, as of the last publication. */
interface ServiceLevel extends SampleLevel {
  prior: number;
  variance: number;
  varianceSampleCount: number;
  recentCount: number;
}

/** An estimate that was published in place of another. */
export interface PublishedChange {
  readonly server: ServerEntry;
  readonly before: CapacityEstimate;
  readonly after: CapacityEstimate;
  /** Weight of the samples that decided, in answers. */
  readonly sampleCount: number;
  /** Age of the newest samples. */
  readonly sampleAgeMs: number;
}

/** Estimates of all servers from the samples of one daemon or of a fleet. */
export class CapacityPool {
  readonly #servers = new Map<string, PooledServer>();
  readonly #levels = new Map<string, ServiceLevel>();
  #version = 0;
  #publishedAtMs: number;

  constructor(nowMs: number) {
    this.#publishedAtMs = nowMs;
  }

  /** Number of publications that changed an estimate. */
  get version(): number {
    return this.#version;
  }

  /** Adds a report. */
  add(
    report: CapacityReport,
    { nowMs, tryGet }: {
      readonly nowMs: number;
      /** Finds the registered server of an incarnation. */
      readonly tryGet: (incarnation: string) => ServerEntry | undefined;
    },
  ): void {
    for (const [incarnation, bands] of Object.entries(report)) {
      const entry = tryGet(incarnation);
      if (entry === undefined) continue;
      const server = this.#obtain(incarnation, entry);
      server.sampledAtMs = nowMs;
      const { samples } = server;
      for (const [band, answerCount, hundredths, rejectionCount] of bands) {
        samples.add({
          band,
          answerCount,
          logSum: hundredths / 100,
          rejectionCount,
        });
      }
    }
  }

  /** Publishes what has changed, if the last publication is long enough ago; returns what differs. */
  publish(nowMs: number): readonly PublishedChange[] {
    const elapsedMs = nowMs - this.#publishedAtMs;
    if (elapsedMs < publishIntervalMs) return [];
    this.#publishedAtMs = nowMs;
    for (const [incarnation, { entry, samples }] of this.#servers) {
      const level = this.#obtainLevel(entry.service);
      const deviation = samples.tryMeasureDeviation();
      if (deviation !== undefined) {
        addVarianceSample(level, deviation ** 2);
      }
      samples.advance(elapsedMs, level);
      if (samples.sampleCount < minSampleCount) {
        this.#servers.delete(incarnation);
      }
    }
    this.#updateMeans();
    const nextVersion = this.#version + 1;
    const changes: PublishedChange[] = [];
    for (const server of this.#servers.values()) {
      const before = server.published;
      const after = this.#estimate(server);
      const differs = hasChanged(before.concurrency, after.concurrency) ||
        hasChanged(before.slownessFactor, after.slownessFactor);
      if (!differs) continue;
      server.published = after;
      server.publishedVersion = nextVersion;
      this.#version = nextVersion;
      const { entry, samples, sampledAtMs } = server;
      changes.push({
        server: entry,
        before,
        after,
        sampleCount: samples.sampleCount,
        sampleAgeMs: nowMs - sampledAtMs,
      });
    }
    return changes;
  }

  /** The published estimate of an incarnation. */
  tryGet(incarnation: string): CapacityEstimate | undefined {
    return this.#servers.get(incarnation)?.published;
  }

  /** The estimates that were published after `version`. */
  publishedAfter(version: number): CapacityUpdate {
    const changed = [...this.#servers]
      .filter(([, { publishedVersion }]) => publishedVersion > version)
      .map(([incarnation, { published }]) =>
        [
          incarnation,
          [published.concurrency, published.slownessFactor],
        ] as const
      );
    return { version: this.#version, capacities: Object.fromEntries(changed) };
  }

  #obtain(incarnation: string, entry: ServerEntry): PooledServer {
    const known = this.#servers.get(incarnation);
    if (known !== undefined) return known;
    const server: PooledServer = {
      entry,
      samples: new ServerSamples(),
      published: { concurrency: entry.slotCount, slownessFactor: 1 },
      publishedVersion: 0,
      sampledAtMs: this.#publishedAtMs,
    };
    this.#servers.set(incarnation, server);
    return server;
  }

  #obtainLevel(service: string): ServiceLevel {
    const known = this.#levels.get(service);
    if (known !== undefined) return known;
    const level = {
      prior: 0,
      variance: assumed.variance,
      varianceSampleCount: assumed.sampleCount,
      recentCount: 0,
      degradations: new Float64Array(bandCount),
    };
    this.#levels.set(service, level);
    return level;
  }

  #estimate({ entry, samples }: PooledServer): CapacityEstimate {
    const level = this.#obtainLevel(entry.service);
    const { min, max } = slownessBounds;
    const slowness = Math.exp(samples.meanLog(level) - level.prior);
    return {
      concurrency: quantize(samples.concurrency(entry.slotCount)),
      slownessFactor: quantize(Math.min(max, Math.max(min, slowness))),
    };
  }

  /** Makes the mean slowness of each service's servers 1, and averages what else they have in common. */
  #updateMeans(): void {
    const byService = groupBy(
      [...this.#servers.values()],
      ({ entry }) => entry.service,
    );
    for (const [service, servers] of byService) {
      const level = this.#obtainLevel(service);
      const sum = servers.reduce(
        (total, { samples }) => total + Math.exp(samples.meanLog(level)),
        0,
      );
      level.prior = Math.log(sum / servers.length);
      const recentCount = servers
        .reduce((total, { samples }) => total + samples.recentCount, 0);
      level.recentCount = recentCount / servers.length;
      for (const band of runningBands) {
        let count = assumedComparableCount;
        let sum = 0;
        for (const { samples } of servers) {
          count += samples.comparableCounts[band]!;
          sum += samples.comparableCounts[band]! *
            samples.ownDegradations[band]!;
        }
        level.degradations[band] = sum / count;
      }
    }
  }
}

function addVarianceSample(level: ServiceLevel, sample: number): void {
  level.varianceSampleCount += 1;
  const weight = Math.max(minVarianceWeight, 1 / level.varianceSampleCount);
  const bounded = Math.min(sample, maxSampleFactor * level.variance);
  level.variance += (bounded - level.variance) * weight;
}

function quantize(value: number): number {
  return Math.round(value * quantum) / quantum;
}

function hasChanged(before: number, after: number): boolean {
  return Math.abs(after - before) > before * publishStep;
}
