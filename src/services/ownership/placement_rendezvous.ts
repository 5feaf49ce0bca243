/**
 * Rendezvous hashing: each shard belongs to the server with the highest hash
 * of the pair. Ignores load; a join or leave moves only the shards of the
 * server that joined or left.
 */
import type { ServerId } from "../../types/types.ts";
import type { HashFunction } from "../../hashing/key_hash.ts";
import type { PlacementDraft } from "./placement_draft.ts";
import { TargetPlacement } from "./placement_target.ts";

/** Places each shard by the highest random weight. */
export class RendezvousPlacement extends TargetPlacement {
  protected override computeTargets(
    draft: PlacementDraft,
  ): readonly (ServerId | undefined)[] {
    const servers = draft.targets();
    return draft.input.shardOwners.map((owner, shard) =>
      keepsOwner(draft, owner)
        ? owner
        : rankServers(draft.input.hash, { shard, servers })[0]
    );
  }
}

/** Whether the owner keeps its shards because it accepts no moves itself. */
export function keepsOwner(
  draft: PlacementDraft,
  owner: ServerId | undefined,
): boolean {
  const server = draft.input.servers.find((s) => s.serverId === owner);
  return server !== undefined && !server.acceptsMoves;
}

/** Servers in the order in which a shard prefers them. */
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
