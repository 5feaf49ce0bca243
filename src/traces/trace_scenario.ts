/** The abstract scenario of a workload, from which traces are generated. */
import type { TraceEvent, TraceHeader, TraceService } from "./trace_schema.ts";

/** The size and the seed of a trace. */
export interface TraceSize {
  readonly seed: number;
  readonly durationMs: number;
  /** Mean over the whole trace. */
  readonly requestsPerSecond: number;
  readonly keyCount: number;
  readonly daemonCount: number;
}

/** A customer and its fraction of a service's requests. */
export interface CustomerFraction {
  readonly customer: string;
  readonly fraction: number;
}

/** A workload: its services, customers, request rate over time, hot keys and faults. */
export abstract class TraceScenario {
  abstract readonly name: string;

  /** The header of a trace of the given size. */
  abstract createHeader(size: TraceSize): TraceHeader;

  /** The request rate at a fraction of the trace's duration, relative to the mean; the generator corrects a mean other than 1. */
  abstract relativeRate(fraction: number): number;

  /** The customers that call a service; their fractions add up to 1. */
  abstract customersOf(service: TraceService): readonly CustomerFraction[];

  /** The fraction of each hot key among the requests of a service, highest first; empty without hot keys. */
  abstract hotKeyFractions(service: TraceService): readonly number[];

  /** The faults, joins, drains and list edits, in order of time. */
  abstract plannedEvents(size: TraceSize): readonly TraceEvent[];
}
