/** What one kind of workload adds to the generator of traces. */
import type { TraceEvent, TraceHeader, TraceService } from "./trace_schema.ts";

/** How large a trace to generate. */
export interface TraceSize {
  readonly seed: number;
  readonly durationMs: number;
  /** Mean over the whole trace. */
  readonly requestsPerSecond: number;
  readonly keyCount: number;
  readonly daemonCount: number;
}

/** A customer and its share of a service's requests. */
export interface CustomerShare {
  readonly customer: string;
  readonly share: number;
}

/** A workload: its services, its callers, its rate over time, its faults. */
export abstract class TraceScenario {
  abstract readonly name: string;

  /** The header of a trace of the given size. */
  abstract createHeader(size: TraceSize): TraceHeader;

  /** Rate relative to the mean, at a fraction of the trace's duration. */
  abstract relativeRate(fraction: number): number;

  /** Who calls a service. */
  abstract customersOf(service: TraceService): readonly CustomerShare[];

  /** Shares of the hot keys of a service, highest first. */
  abstract hotKeyShares(service: TraceService): readonly number[];

  /** Joins, drains, stalls, kills, outages and edits, in order. */
  abstract plannedEvents(size: TraceSize): readonly TraceEvent[];
}
