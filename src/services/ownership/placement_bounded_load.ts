/**
 * Consistent hashing with bounded loads: each shard is assigned to the first
 * server of its rendezvous order whose load stays below a cap. The cap is
 * somewhat above the mean load.
 */
import type { ServerId } from "../../types/types.ts";
import type { PlacementDraft } from "./placement_draft.ts";
import { mustKeepOwner, rankServers } from "./placement_rendezvous.ts";
import { type PlacementOptions, TargetPlacement } from "./placement_target.ts";

/** Load above the mean that a server may have, as a fraction of the mean. */
const defaultSlackFraction = 0.08;

/** Assigns each shard by rendezvous order under a load cap. */
export class BoundedLoadPlacement extends TargetPlacement {
  readonly #slackFraction: number;

  constructor(
    options: PlacementOptions & { readonly slackFraction?: number } = {},
  ) {
    super(options);
    this.#slackFraction = options.slackFraction ?? defaultSlackFraction;
  }

  protected override computeTargets(
    draft: PlacementDraft,
  ): readonly (ServerId | undefined)[] {
    const cap = draft.meanLoad() * (1 + this.#slackFraction);
    const servers = draft.listTargetServers();
    const loads = createInitialLoads(draft);
    return draft.input.shardOwners.map((owner, shard) => {
      const target = mustKeepOwner(draft, owner)
        ? owner
        : this.#chooseServer({ draft, shard, servers, loads, cap });
      if (target === undefined) return undefined;
      loads.set(target, (loads.get(target) ?? 0) + draft.shardRate(shard));
      return target;
    });
  }

  #chooseServer({ draft, shard, servers, loads, cap }: {
    readonly draft: PlacementDraft;
    readonly shard: number;
    readonly servers: readonly ServerId[];
    readonly loads: ReadonlyMap<ServerId, number>;
    readonly cap: number;
  }): ServerId | undefined {
    const loadOf = (serverId: ServerId) => loads.get(serverId) ?? 0;
    const ranked = rankServers(draft.input.hash, { shard, servers });
    const rate = draft.shardRate(shard);
    return ranked.find((serverId) => loadOf(serverId) + rate <= cap) ??
      ranked.toSorted((a, b) => loadOf(a) - loadOf(b))[0];
  }
}

/** The load of each server by keys with overrides, without any shard. */
function createInitialLoads(draft: PlacementDraft): Map<ServerId, number> {
  const loads = new Map<ServerId, number>();
  for (const key of draft.overriddenKeys()) {
    const server = draft.tryGetOverride(key);
    if (server === undefined) continue;
    loads.set(server, (loads.get(server) ?? 0) + draft.keyRate(key));
  }
  return loads;
}
