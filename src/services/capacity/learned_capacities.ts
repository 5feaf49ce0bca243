/**
 * Learns the capacities of backend servers from the answers that this daemon
 * receives and from the pooled estimates of the key granter. From the first sync
 * on the granter's estimates are used in place of those that this daemon has
 * made alone; they stay in use when the granter is lost.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { incarnationOf, type ServerEntry } from "../../types/routing.ts";
import { CounterName } from "../metrics/metrics.ts";
import {
  type AnswerSample,
  type BandReport,
  Capacities,
  type CapacityEstimate,
  type CapacityReport,
  type CapacityUpdate,
  type PooledCapacities,
} from "./capacities.ts";
import { CapacityPool, type PublishedChange } from "./capacity_pool.ts";
import { bandOf, LoadBand, queueRounds } from "./load_band.ts";
import { RouteWork } from "./route_work.ts";

/** Most log lines of one publication; those of the largest changes. */
const maxLoggedChanges = 5;
/** An estimate that changed by less than this factor isn't logged. */
const loggedFactor = 1.4;
/** Shortest time that an answer is taken to have lasted. */
const minDurationMs = 0.1;

/**
 * Time that a new key granter has to learn. After it, estimates of earlier ones
 * that it hasn't replaced are dropped, since it publishes no estimate of a
 * server that is as it is assumed to be.
 */
const relearnMs = 15_000;

/** An estimate of the key granter of a term. */
interface PooledEstimate {
  readonly term: number;
  readonly estimate: CapacityEstimate;
}

/** Sums of one band of one server. */
interface BandSums {
  answerCount: number;
  logSum: number;
  rejectionCount: number;
}

/** Implements `Capacities`. */
export class LearnedCapacities extends Capacities {
  readonly #work = new RouteWork();
  readonly #counts = new Map<string, Map<LoadBand, BandSums>>();
  readonly #pooled = new Map<string, PooledEstimate>();
  /** Whether this daemon is the key granter. */
  #isPooling = false;
  /** The key granter's term of the newest estimates, and when this daemon first heard of it. */
  #term: number | undefined;
  #termBeganAtMs = 0;
  #pool = new CapacityPool(0);
  #services: ServiceLookup | undefined;

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.Directory,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    this.#pool = new CapacityPool(this.#nowMs());
    return Promise.resolve();
  }

  override estimateOf(server: ServerEntry): CapacityEstimate {
    const incarnation = incarnationOf(server);
    // The key granter publishes nothing of a server that is as assumed.
    const known = this.#term === undefined
      ? this.#pool.tryGet(incarnation)
      : this.#pooled.get(incarnation)?.estimate;
    const { slotCount } = server;
    if (known === undefined) {
      return { concurrency: slotCount, slownessFactor: 1 };
    }
    // The entry may have got fewer slots since the estimate was made.
    if (known.concurrency <= slotCount) return known;
    return { ...known, concurrency: slotCount };
  }

  override serviceMs(server: ServerEntry, route: string): number {
    return this.#work.getMs(server.service, route) *
      this.estimateOf(server).slownessFactor;
  }

  override noteAnswer(
    server: ServerEntry,
    { route, durationMs, loadAtSend, wasQueueing }: AnswerSample,
  ): void {
    const { service, slotCount } = server;
    const band = bandOf(loadAtSend, slotCount);
    // The load was known too late, and a queue would count as slowness.
    if (wasQueueing === true && band !== LoadBand.Queued) return;
    const usualMs = Math.max(minDurationMs, durationMs);
    // Up to its slots a server runs requests at once, if more slowly.
    const runMs = band === LoadBand.Queued
      ? usualMs / queueRounds(loadAtSend, slotCount)
      : usualMs;
    const workLogMs = this.#work.tryGetLogMs(service, route);
    if (workLogMs !== undefined) {
      const sums = this.#obtainSums(incarnationOf(server), band);
      sums.answerCount += 1;
      sums.logSum += Math.log(runMs) - workLogMs;
    }
    const { concurrency, slownessFactor } = this.estimateOf(server);
    this.#work.add(
      service,
      route,
      usualMs / queueRounds(loadAtSend, concurrency) / slownessFactor,
    );
  }

  override noteRejection(server: ServerEntry, loadAtSend: number): void {
    const band = bandOf(loadAtSend, server.slotCount);
    this.#obtainSums(incarnationOf(server), band).rejectionCount += 1;
  }

  override takeReport(): CapacityReport {
    const report = Object.fromEntries(
      [...this.#counts].map(([incarnation, bands]) =>
        [
          incarnation,
          [...bands].map(([band, sums]): BandReport => [
            band,
            sums.answerCount,
            Math.round(sums.logSum * 100),
            sums.rejectionCount,
          ]),
        ] as const
      ),
    );
    this.#counts.clear();
    this.addReport(report);
    return report;
  }

  override addReport(report: CapacityReport): void {
    const directory = this.#services!.get(ServiceName.Directory);
    const nowMs = this.#nowMs();
    this.#pool.add(report, {
      nowMs,
      tryGet: (incarnation) => {
        const entry = directory.tryGet(idOf(incarnation));
        return entry !== undefined && incarnationOf(entry) === incarnation
          ? entry
          : undefined;
      },
    });
    this.#note(this.#pool.publish(nowMs));
  }

  override pooledAfter(version: number): CapacityUpdate {
    return this.#pool.publishedAfter(version);
  }

  override poolOwn(term: number): void {
    this.#isPooling = true;
    this.takeReport();
    this.#take(this.#pool.publishedAfter(0).capacities, term);
  }

  override applyPooled(capacities: PooledCapacities, term: number): void {
    this.#isPooling = false;
    this.#take(capacities, term);
  }

  #take(capacities: PooledCapacities, term: number): void {
    const nowMs = this.#nowMs();
    if (term !== this.#term) this.#termBeganAtMs = nowMs;
    this.#term = term;
    for (
      const [incarnation, [concurrency, slownessFactor]] of Object.entries(
        capacities,
      )
    ) {
      this.#pooled.set(incarnation, {
        term,
        estimate: { concurrency: Math.max(1, concurrency), slownessFactor },
      });
    }
    const mayForget = nowMs - this.#termBeganAtMs >= relearnMs;
    const directory = this.#services!.get(ServiceName.Directory);
    for (const [incarnation, known] of this.#pooled) {
      const isGone = directory.tryGet(idOf(incarnation)) === undefined;
      const isOutdated = mayForget && known.term !== term;
      if (isGone || isOutdated) this.#pooled.delete(incarnation);
    }
  }

  #obtainSums(incarnation: string, band: LoadBand): BandSums {
    const bands = this.#counts.get(incarnation) ?? new Map();
    this.#counts.set(incarnation, bands);
    const sums = bands.get(band) ??
      { answerCount: 0, logSum: 0, rejectionCount: 0 };
    bands.set(band, sums);
    return sums;
  }

  /** Counts the changes of a publication, and logs the largest. */
  #note(changes: readonly PublishedChange[]): void {
    // Other daemons use what the key granter has learned.
    if (changes.length === 0 || !this.#isPooling) return;
    const services = this.#services!;
    services.get(ServiceName.Metrics)
      .count(CounterName.CapacitiesChanged, undefined, changes.length);
    const logged = changes
      .map((change) => ({ change, factor: changeFactor(change) }))
      .filter(({ factor }) => factor >= loggedFactor)
      .sort((a, b) => b.factor - a.factor)
      .slice(0, maxLoggedChanges);
    const log = services.get(ServiceName.Log);
    for (const { change } of logged) {
      const { server, before, after, sampleCount, sampleAgeMs } = change;
      log.write(LogEvent.CapacityChanged, {
        server: server.id,
        service: server.service,
        concurrency: after.concurrency,
        slownessFactor: after.slownessFactor,
        concurrencyBefore: before.concurrency,
        slownessFactorBefore: before.slownessFactor,
        sampleCount: Math.round(sampleCount),
        sampleAgeMs: Math.round(sampleAgeMs),
        version: this.#pool.version,
      });
    }
  }

  #nowMs(): number {
    return this.#services!.get(ServiceName.Clock).nowMs();
  }
}

/** The id of the server of an incarnation. */
function idOf(incarnation: string): string {
  return incarnation.slice(0, incarnation.lastIndexOf("@"));
}

/** The larger of the factors by which concurrency and slowness have changed. */
function changeFactor({ before, after }: PublishedChange): number {
  const ratios = [
    after.concurrency / before.concurrency,
    after.slownessFactor / before.slownessFactor,
  ];
  return Math.max(...ratios.map((ratio) => Math.max(ratio, 1 / ratio)));
}
