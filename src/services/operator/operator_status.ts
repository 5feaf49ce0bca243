/** The status of this daemon, its peers, and the servers whose home it is. */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ServiceAssignment } from "../../types/types.ts";
import type { HomedServerStatus } from "../home/home.ts";
import type { CoordinatorStatus } from "../ownership/ownership.ts";

/** Builds the answer to `GetStatus`. */
export function createStatus(services: ServiceLookup) {
  const membership = services.get(ServiceName.Membership);
  const ownership = services.get(ServiceName.Ownership);
  const lifecycle = services.get(ServiceName.Lifecycle);
  const lists = services.tryGet(ServiceName.Lists);
  const coordinator = ownership.coordinator();
  return {
    self: membership.self(),
    state: lifecycle.state(),
    blockers: [...lifecycle.blockers()],
    daemons: [...membership.daemons()],
    assignments: ownership.definitions()
      .map(({ name }) => ownership.tryGetAssignment(name))
      .filter((assignment) => assignment !== undefined)
      .map(encodeAssignment),
    homedServers: services.get(ServiceName.Home).status()
      .map(encodeHomedServer),
    ...(coordinator === undefined
      ? {}
      : { coordinator: encodeCoordinator(coordinator) }),
    listsVersion: BigInt(lists?.current()?.version ?? 0),
    inFlightCount: services.get(ServiceName.RequestPipeline).inFlightCount(),
  };
}

function encodeAssignment(assignment: ServiceAssignment) {
  const { shardServers } = assignment;
  const shardCounts = countShards(assignment);
  return {
    service: assignment.service,
    epoch: BigInt(assignment.epoch),
    version: BigInt(assignment.version),
    shardCount: shardServers.length,
    unownedShardCount: shardServers.filter((index) => index < 0).length,
    hotKeyCount: assignment.overrides.length,
    servers: assignment.servers.map((server, index) => ({
      serverId: server.serverId,
      dataCentre: server.dataCentre,
      state: server.state,
      homeDaemonId: server.homeDaemonId,
      standbyDaemonId: server.standbyDaemonId ?? "",
      shardCount: shardCounts[index] ?? 0,
    })),
  };
}

/** Counts the shards of each server, in the order of `assignment.servers`. */
function countShards(assignment: ServiceAssignment): number[] {
  const counts = assignment.servers.map(() => 0);
  for (const index of assignment.shardServers) {
    if (index >= 0) counts[index] = (counts[index] ?? 0) + 1;
  }
  return counts;
}

function encodeHomedServer(server: HomedServerStatus) {
  const remainingMs = Math.max(0, Math.round(server.permitRemainingMs));
  return { ...server, permitRemainingMs: BigInt(remainingMs) };
}

function encodeCoordinator(coordinator: CoordinatorStatus) {
  return {
    daemonId: coordinator.daemonId,
    epoch: BigInt(coordinator.epoch),
    permitRemainingMs: BigInt(Math.round(coordinator.permitRemainingMs)),
  };
}
