/** Locates the server of a key and the last move that assigned it there. */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { KeyLocation, MoveRecord } from "../../types/types.ts";
import { encodeMove } from "./operator_codec.ts";

export interface KeyQuery {
  readonly service: string;
  readonly key: string;
}

/** Locates a key in the assignment that this daemon holds. */
export function locateKey(services: ServiceLookup, query: KeyQuery) {
  const ownership = services.get(ServiceName.Ownership);
  const located = ownership.locate(query.service, query.key);
  return located.map((location) => encodeLocation(services, query, location));
}

function encodeLocation(
  services: ServiceLookup,
  query: KeyQuery,
  location: KeyLocation,
) {
  const ownership = services.get(ServiceName.Ownership);
  const assignment = ownership.tryGetAssignment(query.service);
  const overrides = assignment?.overrides ?? [];
  const lastMove = tryFindLastMove(ownership.recentMoves(), query, location);
  const { server } = location;
  return {
    shard: location.shard,
    serverId: server.serverId,
    serverState: server.state,
    dataCentre: server.dataCentre,
    homeDaemonId: server.homeDaemonId,
    standbyDaemonId: server.standbyDaemonId ?? "",
    homeFence: BigInt(server.homeFence),
    fence: BigInt(location.fence),
    assignmentVersion: BigInt(location.assignmentVersion),
    epoch: BigInt(assignment?.epoch ?? 0),
    isHotKey: overrides.some(({ key }) => key === query.key),
    ...(lastMove === undefined ? {} : { lastMove: encodeMove(lastMove) }),
  };
}

/** Returns the newest move of the key or of any shards to the key's owner. */
function tryFindLastMove(
  history: readonly MoveRecord[],
  query: KeyQuery,
  location: KeyLocation,
): MoveRecord | undefined {
  return history.findLast((move) =>
    move.service === query.service &&
    move.toServerId === location.server.serverId &&
    move.toServerId !== move.fromServerId &&
    (move.key === undefined || move.key === query.key)
  );
}
