/**
 * A placement for tests of losses and moves that are forced: it gives shards
 * without an owner to the server with the fewest, and moves nothing by choice.
 */
import {
  Placement,
  type PlacementInput,
  type PlannedMove,
} from "../services/ownership/placement.ts";
import { MoveReason } from "../types/enums.ts";
import type { ServerId } from "../types/types.ts";

/** Moves nothing that has an owner. */
export class StillPlacement extends Placement {
  override plan(input: PlacementInput): readonly PlannedMove[] {
    const counts = new Map<ServerId, number>();
    for (const server of input.servers) {
      if (server.acceptsMoves) counts.set(server.serverId, 0);
    }
    for (const owner of input.shardOwners) {
      const count = owner === undefined ? undefined : counts.get(owner);
      if (count !== undefined) counts.set(owner!, count + 1);
    }
    const moves: PlannedMove[] = [];
    for (const [shard, owner] of input.shardOwners.entries()) {
      if (owner !== undefined) continue;
      const toServerId = findLeast(counts);
      if (toServerId === undefined) break;
      counts.set(toServerId, counts.get(toServerId)! + 1);
      const reason = MoveReason.Initial;
      moves.push({ shard, key: undefined, toServerId, reason });
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
