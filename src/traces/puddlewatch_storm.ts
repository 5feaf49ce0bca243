/**
 * The workload of the flood map during a typhoon over northern Taiwan: map
 * reloads come in bursts, the flooded district and with it the hot keys change,
 * dispatches follow the map, and engineers read archives.
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
  connectionsPerServer: 50,
  serviceTimeMs: 2,
  shardCount: 256,
};
const burstCount = 4;

/** The scenario of the trace `puddlewatch_storm`. */
export class PuddlewatchStorm extends TraceScenario {
  override readonly name = "puddlewatch_storm";

  override createHeader(size: TraceSize): TraceHeader {
    return {
      kind: TraceEventKind.Header,
      format: traceFormat,
      name: this.name,
      seed: size.seed,
      durationMs: size.durationMs,
      requestsPerSecond: size.requestsPerSecond,
      daemonCount: size.daemonCount,
      dataCentres: ["taiwan-a", "taiwan-b", "taiwan-c"],
      dataCentreDelayMs: 0.5,
      callerDelayMs: 3,
      services: createServices(size.keyCount),
    };
  }

  /** Oscillates around the mean, since each passing rain band causes a burst of requests. */
  override relativeRate(fraction: number): number {
    return 1 + 0.7 * Math.sin(2 * Math.PI * burstCount * fraction);
  }

  override customersOf(service: TraceService): readonly CustomerFraction[] {
    switch (service.requestClass) {
      case RequestClass.Archive:
        return [{ customer: "engineers", fraction: 1 }];
      case RequestClass.Confirmation:
        return [{ customer: "village-chiefs", fraction: 1 }];
      case RequestClass.LiveRead:
        return [
          { customer: "residents", fraction: 0.7 },
          { customer: "village-chiefs", fraction: 0.2 },
          { customer: "road-crews", fraction: 0.1 },
        ];
    }
  }

  override hotKeyFractions(service: TraceService): readonly number[] {
    if (service.name === "flood-map") return [0.07, 0.05, 0.04, 0.02];
    if (service.name === "dispatch") return [0.08];
    return [];
  }

  override plannedEvents({ durationMs }: TraceSize): readonly TraceEvent[] {
    const at = (fraction: number) => Math.round(durationMs * fraction);
    const map = { service: "flood-map" };
    return [
      {
        kind: TraceEventKind.ServerKill,
        atMs: at(0.15),
        ...map,
        serverId: "flood-map-4",
      },
      {
        kind: TraceEventKind.ServerJoin,
        atMs: at(0.25),
        ...map,
        serverId: "flood-map-24",
      },
      { kind: TraceEventKind.DaemonKill, atMs: at(0.35), daemonIndex: 1 },
      { kind: TraceEventKind.StoreOutage, atMs: at(0.45), durationMs: 4_000 },
      {
        kind: TraceEventKind.ListEdit,
        atMs: at(0.6),
        customer: "engineers",
        plan: "reduced",
      },
      {
        kind: TraceEventKind.ServerKill,
        atMs: at(0.65),
        service: "dispatch",
        serverId: "dispatch-1",
      },
      { kind: TraceEventKind.DaemonFreeze, atMs: at(0.75), daemonIndex: 2 },
      { kind: TraceEventKind.DaemonThaw, atMs: at(0.85), daemonIndex: 2 },
      {
        kind: TraceEventKind.ServerDrain,
        atMs: at(0.9),
        ...map,
        serverId: "flood-map-9",
      },
    ];
  }
}

function createServices(keyCount: number): TraceService[] {
  return [
    {
      ...serviceDefaults,
      name: "dispatch",
      requestClass: RequestClass.Confirmation,
      fencingMode: FencingMode.Checked,
      churnWeight: 5,
      serverCount: 10,
      keyCount,
      zipfExponent: 0.7,
      requestShare: 0.15,
    },
    {
      ...serviceDefaults,
      name: "flood-map",
      requestClass: RequestClass.LiveRead,
      fencingMode: FencingMode.Unchecked,
      churnWeight: 1,
      serverCount: 24,
      keyCount,
      zipfExponent: 0.8,
      requestShare: 0.78,
    },
    {
      ...serviceDefaults,
      name: "rainfall",
      requestClass: RequestClass.Archive,
      fencingMode: FencingMode.Unchecked,
      churnWeight: 1,
      serverCount: 6,
      keyCount,
      zipfExponent: 0.4,
      requestShare: 0.07,
    },
  ];
}
