/**
 * The workload of the roster division at dawn in Lima: roster reads rise
 * steeply, confirmations follow, and exports run at the same time. The rosters of
 * a few farms and the confirmations of one farm are hot keys; shifts at even
 * intervals make other farms hot.
 */
import { FencingMode, RequestClass } from "../types/enums.ts";
import {
  type CustomerFraction,
  TraceScenario,
  type TraceSize,
} from "./trace_scenario.ts";
import {
  type TraceEvent,
  TraceEventKind,
  traceFormat,
  type TraceHeader,
  type TraceService,
} from "./trace_schema.ts";

const serviceDefaults = {
  slotsPerServer: 3,
  connectionsPerServer: 110,
  serviceTimeMs: 2,
  shardCount: 256,
};

/** The scenario of the trace `lima_dawn`. */
export class LimaDawn extends TraceScenario {
  override readonly name = "lima_dawn";

  override createHeader(size: TraceSize): TraceHeader {
    return {
      kind: TraceEventKind.Header,
      format: traceFormat,
      name: this.name,
      seed: size.seed,
      durationMs: size.durationMs,
      requestsPerSecond: size.requestsPerSecond,
      daemonCount: size.daemonCount,
      dataCentres: ["lima-a", "lima-b", "lima-c"],
      dataCentreDelayMs: 1,
      callerDelayMs: 8,
      services: createServices(size.keyCount),
    };
  }

  /** Rises to twice the mean after a third of the trace, then falls slowly. */
  override relativeRate(fraction: number): number {
    const peak = 1 / 3;
    const width = fraction < peak ? 0.15 : 0.35;
    const bellCurve = Math.exp(-(((fraction - peak) / width) ** 2));
    return 0.3 + 1.6 * bellCurve;
  }

  override customersOf(service: TraceService): readonly CustomerFraction[] {
    if (service.requestClass === RequestClass.Archive) {
      return [{ customer: "cuadrillas-audit", fraction: 1 }];
    }
    return [
      { customer: "cuadrillas-farms", fraction: 0.65 },
      { customer: "cuadrillas-warehouses", fraction: 0.35 },
    ];
  }

  override hotKeyFractions(service: TraceService): readonly number[] {
    if (service.name === "roster") return [0.1, 0.05, 0.03];
    if (service.name === "confirmation") return [0.06];
    return [];
  }

  override plannedEvents({ durationMs }: TraceSize): readonly TraceEvent[] {
    const at = (fraction: number) => Math.round(durationMs * fraction);
    const roster = { service: "roster" };
    return [
      {
        kind: TraceEventKind.ServerJoin,
        atMs: at(0.2),
        ...roster,
        serverId: "roster-14",
      },
      {
        kind: TraceEventKind.ListEdit,
        atMs: at(0.3),
        customer: "cuadrillas-audit",
        plan: "reduced",
      },
      {
        kind: TraceEventKind.ServerKill,
        atMs: at(0.4),
        service: "confirmation",
        serverId: "confirmation-2",
      },
      {
        kind: TraceEventKind.ServerDrain,
        atMs: at(0.55),
        ...roster,
        serverId: "roster-3",
      },
      {
        kind: TraceEventKind.ServerStall,
        atMs: at(0.7),
        ...roster,
        serverId: "roster-5",
        durationMs: 3_000,
      },
      {
        kind: TraceEventKind.ServerKill,
        atMs: at(0.85),
        ...roster,
        serverId: "roster-7",
      },
    ];
  }
}

function createServices(keyCount: number): TraceService[] {
  return [
    {
      ...serviceDefaults,
      name: "confirmation",
      requestClass: RequestClass.Confirmation,
      fencingMode: FencingMode.Checked,
      churnWeight: 10,
      serverCount: 8,
      keyCount,
      zipfExponent: 0.7,
      requestShare: 0.3,
    },
    {
      ...serviceDefaults,
      name: "roster",
      requestClass: RequestClass.LiveRead,
      fencingMode: FencingMode.Checked,
      churnWeight: 5,
      serverCount: 14,
      keyCount,
      zipfExponent: 0.8,
      requestShare: 0.62,
    },
    {
      ...serviceDefaults,
      name: "audit",
      requestClass: RequestClass.Archive,
      fencingMode: FencingMode.Unchecked,
      churnWeight: 1,
      serverCount: 6,
      keyCount,
      zipfExponent: 0.4,
      requestShare: 0.08,
    },
  ];
}
