/** Creates the test fleet that the header of a trace describes. */
import { TestFleet } from "../testing/test_fleet.ts";
import type { ServiceDefinition } from "../types/types.ts";
import type { TraceHeader, TraceService } from "./trace_schema.ts";

const settleDurationMs = 3_000;

/** Converts a service of a trace to the definition that daemons read from their settings. */
export function toServiceDefinition(service: TraceService): ServiceDefinition {
  return {
    name: service.name,
    requestClass: service.requestClass,
    shardCount: service.shardCount,
    fencingMode: service.fencingMode,
    slotsPerServer: service.slotsPerServer,
    connectionsPerServer: service.connectionsPerServer,
    churnWeight: service.churnWeight,
  };
}

/** Adds one backend server of a service to a fleet. */
export function addTraceServer(
  fleet: TestFleet,
  service: TraceService,
  serverId: string,
): void {
  fleet.addServer({
    serverId,
    definition: toServiceDefinition(service),
    behaviour: { serviceTimeMs: service.serviceTimeMs },
  });
}

/** Starts the daemons and backend servers of a trace, and waits until assignments are in force. */
export async function startTraceFleet(header: TraceHeader): Promise<TestFleet> {
  const fleet = new TestFleet({
    seed: header.seed,
    daemonCount: header.daemonCount,
    serverCount: 0,
    settings: { services: header.services.map(toServiceDefinition) },
  });
  for (const service of header.services) {
    for (let index = 0; index < service.serverCount; index++) {
      addTraceServer(fleet, service, `${service.name}-${index}`);
    }
  }
  await fleet.start();
  await fleet.clock.advance(settleDurationMs);
  return fleet;
}
