/**
 * Rendezvous hashing: each shard belongs to the server for which the hash of
 * server and shard is highest. The load is ignored. When a server joins or
 * leaves, only shards of that server move.
 */
import type { ServerId } from "../../types/types.ts";
import type { HashFunction } from "../../hashing/key_hash.ts";
import type { PlacementDraft } from "./placement_draft.ts";
import { TargetPlacement } from "./placement_target.ts";

/** Assigns each shard to the server with the highest hash. */
export class RendezvousPlacement extends TargetPlacement {
  protected override computeTargets(
    draft: PlacementDraft,
  ): readonly (ServerId | undefined)[] {
    const servers = draft.listTargetServers();
    return draft.input.shardOwners.map((owner, shard) =>
      mustKeepOwner(draft, owner)
        ? owner
        : rankServers(draft.input.hash, { shard, servers })[0]
    );
  }
}

/** Whether the owner keeps its shards because it doesn't accept moves. */
export function mustKeepOwner(
  draft: PlacementDraft,
  owner: ServerId | undefined,
): boolean {
  const server = draft.input.servers.find((s) => s.serverId === owner);
  return server !== undefined && !server.acceptsMoves;
}

/** The servers in a shard's order of preference, highest hash first. */
export function rankServers(
  hash: HashFunction,
  { shard, servers }: {
    readonly shard: number;
    readonly servers: readonly ServerId[];
  },
): readonly ServerId[] {
  return servers
    .map((serverId) => ({ serverId, weight: hash(`${serverId}#${shard}`) }))
    .sort((a, b) => b.weight - a.weight || (a.serverId < b.serverId ? -1 : 1))
    .map(({ serverId }) => serverId);
}
