/** Gives each shard without an owner to the server that owns the fewest. */
import { MoveReason } from "../../types/enums.ts";
import type { ServerId } from "../../types/types.ts";
import {
  Placement,
  type PlacementInput,
  type PlannedMove,
} from "./placement.ts";

/** Moves nothing that has an owner. */
export class LeastLoadedPlacement extends Placement {
  override plan(input: PlacementInput): readonly PlannedMove[] {
    const counts = new Map<ServerId, number>();
    for (const server of input.servers) {
      if (server.acceptsMoves) counts.set(server.serverId, 0);
    }
    for (const owner of input.shardOwners) {
      const count = owner === undefined ? undefined : counts.get(owner);
      if (count !== undefined) counts.set(owner!, count + 1);
    }
    const serverIds = new Set(input.servers.map(({ serverId }) => serverId));
    const moves: PlannedMove[] = [];
    for (const [shard, owner] of input.shardOwners.entries()) {
      if (owner !== undefined && serverIds.has(owner)) continue;
      const toServerId = findLeast(counts);
      if (toServerId === undefined) break;
      counts.set(toServerId, counts.get(toServerId)! + 1);
      moves.push({
        shard,
        key: undefined,
        toServerId,
        reason: MoveReason.Initial,
      });
    }
    return moves;
  }
}

function findLeast(
  counts: ReadonlyMap<ServerId, number>,
): ServerId | undefined {
  let least: ServerId | undefined;
  for (const [serverId, count] of counts) {
    if (least === undefined || count < counts.get(least)!) least = serverId;
  }
  return least;
}
