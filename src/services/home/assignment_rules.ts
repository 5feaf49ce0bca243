/**
 * Queries on an assignment: which server owns a key and which daemon may send
 * to the server.
 */
import type {
  AssignedServer,
  DaemonId,
  KeyLocation,
  ServerId,
  ServiceAssignment,
} from "../../types/types.ts";

/**
 * The server that owns a key; undefined while the key moves between servers.
 */
export function tryFindOwner(
  assignment: ServiceAssignment,
  { key, shard }: { readonly key: string; readonly shard: number },
): AssignedServer | undefined {
  const override = assignment.overrides.find((entry) => entry.key === key);
  if (override !== undefined) {
    return tryFindServer(assignment, override.serverId);
  }
  return assignment.servers[assignment.shardServers[shard] ?? -1];
}

export function tryFindServer(
  assignment: ServiceAssignment,
  serverId: ServerId,
): AssignedServer | undefined {
  return assignment.servers.find((server) => server.serverId === serverId);
}

/** Whether `daemonId` may send a request to `location` under `assignment`. */
export function isSendAllowed(
  assignment: ServiceAssignment,
  options: {
    readonly location: KeyLocation;
    readonly key: string;
    readonly daemonId: DaemonId;
  },
): boolean {
  const { location, key, daemonId } = options;
  const owner = tryFindOwner(assignment, { key, shard: location.shard });
  return owner?.serverId === location.server.serverId &&
    owner.homeDaemonId === daemonId;
}
