/** Finds daemons of a test fleet by their current role. */
import { ServiceName } from "../kernel/service_name.ts";
import {
  type AssignmentRow,
  assignmentRowKey,
  decodeAssignmentRow,
} from "../services/ownership/assignment_codec.ts";
import {
  decodeLeaseRow,
  type LeaseRow,
  leaseRowKey,
} from "../services/ownership/coordinator_row.ts";
import type { TestDaemon, TestFleet } from "./test_fleet.ts";

const region = "region";

/** The committed lease row. */
export function getLease(fleet: TestFleet): LeaseRow {
  return decodeLeaseRow(fleet.platform.state.read(leaseRowKey(region))!.value);
}

/** The committed assignment of the fleet's service. */
export function getAssignment(fleet: TestFleet): AssignmentRow {
  const key = assignmentRowKey(fleet.definition.name);
  return decodeAssignmentRow(fleet.platform.state.read(key)!.value);
}

/** The daemon that holds the lease. */
export function findCoordinator(fleet: TestFleet): TestDaemon {
  const { holderId } = getLease(fleet);
  return fleet.daemons.find((daemon) => daemon.daemonId === holderId)!;
}

/** A daemon that is the home of a server and not the coordinator. */
export function findHome(fleet: TestFleet): TestDaemon {
  const { holderId } = getLease(fleet);
  const homes = listHomes(fleet);
  return fleet.daemons.find(({ daemonId }) =>
    daemonId !== holderId && homes.has(daemonId)
  )!;
}

/** The identifiers of the daemons that are the home of a server. */
export function listHomes(fleet: TestFleet): ReadonlySet<string> {
  return new Set(getAssignment(fleet).servers.map((s) => s.homeDaemonId));
}

/** Whether a daemon currently has a permit for a server. */
export function hasPermit(daemon: TestDaemon, serverId: string): boolean {
  const ownership = daemon.kernel.get(ServiceName.Ownership);
  return ownership.tryGetPermit(serverId) !== undefined;
}
