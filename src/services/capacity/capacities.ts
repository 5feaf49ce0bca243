/**
 * The contract of learned capacities: how many requests each backend server
 * takes well, and how fast it is when it is not full. Daemons learn from their
 * own requests and pool what they have learned with the key granter.
 */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ServerEntry } from "../../types/routing.ts";
import type { LoadBand } from "./load_band.ts";

/** What is known of one server; the same estimate serves choosing, refusing and placing keys. */
export interface CapacityEstimate {
  /** Requests that the server runs at once before its answers get slower; may be a fraction, at least 1. */
  readonly concurrency: number;
  /** Service time of the server while it is not full, relative to the mean of its service's servers; 2 is half as fast. */
  readonly slownessFactor: number;
}

/** One answer, as a sample for the estimates. */
export interface AnswerSample {
  readonly route: string;
  readonly durationMs: number;
  /** Requests at the server when this one was sent, without it. */
  readonly loadAtSend: number;
  /** Whether requests waited at the server when it answered. */
  readonly wasQueueing?: boolean;
}

/** Counts of one band of a server's load, in a form that can be added up over daemons; `logSumHundredths` is the sum of the logarithms of the answers' times relative to the work of their routes. */
export type BandReport = readonly [
  band: LoadBand,
  answerCount: number,
  logSumHundredths: number,
  rejectionCount: number,
];

/** Counts of each server since the last report, by incarnation. */
export type CapacityReport = Readonly<Record<string, readonly BandReport[]>>;

/** Pooled estimates, by incarnation: concurrency and slowness factor. */
export type PooledCapacities = Readonly<
  Record<string, readonly [concurrency: number, slownessFactor: number]>
>;

/** The estimates that have changed after a version, and the newest version. */
export interface CapacityUpdate {
  readonly version: number;
  readonly capacities: PooledCapacities;
}

/** Learns the capacities of backend servers. */
export abstract class Capacities extends Service {
  override readonly name = ServiceName.Capacities;

  /** What is known of the server; a safe default before anything was learned. */
  abstract estimateOf(server: ServerEntry): CapacityEstimate;

  /** The expected service time of a route's request at the server while it is not full. */
  abstract serviceMs(server: ServerEntry, route: string): number;

  /** Learns from a whole answer. */
  abstract noteAnswer(server: ServerEntry, sample: AnswerSample): void;

  /** Learns from a request that the server refused because it was full. */
  abstract noteRejection(server: ServerEntry, loadAtSend: number): void;

  /** Returns what this daemon has counted since the last call, for the key granter. */
  abstract takeReport(): CapacityReport;

  /** At the key granter: adds the report of another daemon. */
  abstract addReport(report: CapacityReport): void;

  /** At the key granter: the estimates that have changed after `version`. */
  abstract pooledAfter(version: number): CapacityUpdate;

  /** At the key granter: adds what this daemon has counted, and takes over the estimates of the fleet. */
  abstract poolOwn(term: number): void;

  /** Takes over estimates of the key granter, in its term. */
  abstract applyPooled(capacities: PooledCapacities, term: number): void;
}
