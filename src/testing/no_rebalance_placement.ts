/**
 * A placement without rebalancing, for tests of losses and forced moves. Shards
 * without an owner are assigned to the server with the fewest shards; owned
 * shards and hot keys are never moved.
 */
import {
  Placement,
  type PlacementInput,
  type PlannedMove,
} from "../services/ownership/placement.ts";
import { MoveReason } from "../types/enums.ts";
import type { ServerId } from "../types/types.ts";

/** Assigns only shards without an owner. */
export class NoRebalancePlacement extends Placement {
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
      const toServerId = findLeastLoaded(counts);
      if (toServerId === undefined) break;
      counts.set(toServerId, counts.get(toServerId)! + 1);
      const reason = MoveReason.Initial;
      moves.push({ shard, key: undefined, toServerId, reason });
    }
    return moves;
  }
}

function findLeastLoaded(
  counts: ReadonlyMap<ServerId, number>,
): ServerId | undefined {
  let least: ServerId | undefined;
  for (const [serverId, count] of counts) {
    if (least === undefined || count < counts.get(least)!) least = serverId;
  }
  return least;
}
