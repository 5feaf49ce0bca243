/**
 * Plans the owner of each shard and hot key in a row. The placement decides on
 * the wanted owners; this module withdraws and assigns shards and keys in the
 * draft so that no shard or key has two owners at once.
 */
import { BackendServerState, MoveReason } from "../../types/enums.ts";
import type { ServerId, ServiceDefinition } from "../../types/types.ts";
import {
  noServerId,
  type PendingRelease,
  ReleaseKind,
} from "./assignment_codec.ts";
import type { ServerStats } from "./fleet_view.ts";
import { computeShard, type HashFunction } from "../../hashing/key_hash.ts";
import type { Placement, PlacementInput, PlannedMove } from "./placement.ts";
import { computeMovesPerSecond } from "./placement_budget.ts";
import type { ServiceRates } from "./placement_service_rates.ts";
import type { MoveCause, RowDraft } from "./row_draft.ts";
import { isUsable } from "./server_states.ts";

/** Input for planning shards and hot keys. */
export interface ShardPlanInput {
  readonly definition: ServiceDefinition;
  readonly placement: Placement;
  readonly hash: HashFunction;
  readonly rates: ServiceRates;
  readonly tryGetServerStats: (serverId: ServerId) => ServerStats | undefined;
  /** Whether shards with a usable owner may move. */
  readonly mayMoveShards: boolean;
}

/**
 * Withdraws the shards and keys of servers that may no longer own any. A
 * draining server keeps them while no server is usable.
 */
export function withdrawFromUnusableServers(draft: RowDraft): void {
  const hasUsable = [...draft.servers.values()].some((s) => isUsable(s.state));
  for (const server of draft.servers.values()) {
    if (isUsable(server.state)) continue;
    const isLost = server.state === BackendServerState.Lost;
    if (!isLost && !hasUsable) continue;
    const reason = isLost ? MoveReason.ServerLost : MoveReason.ServerDraining;
    draft.withdrawShards(
      server.serverId,
      listShardsOf(draft, server.serverId),
      { reason },
    );
    for (const [key, override] of [...draft.overrides]) {
      if (override.serverId !== server.serverId) continue;
      draft.withdrawKey(key, server.serverId, { reason });
    }
  }
}

/** Assigns released shards and keys to their planned owners. */
export function assignReleased(
  draft: RowDraft,
  input: ShardPlanInput,
  released: readonly PendingRelease[],
): void {
  for (const release of released) {
    const cause = { reason: release.reason, fromServerId: release.serverId };
    if (release.kind === ReleaseKind.Key) {
      assignReleasedKey(draft, { input, release, cause });
    }
    if (release.kind !== ReleaseKind.Shards) continue;
    if (!isServerUsable(draft, release.toServerId)) continue;
    for (const shard of release.shards) {
      draft.assignShard(shard, release.toServerId!, cause);
    }
  }
}

/** Plans moves with the placement, and applies those that are allowed now. */
export function planShards(
  draft: RowDraft,
  input: ShardPlanInput,
  released: readonly PendingRelease[],
): void {
  const hasUnowned = draft.owners.some((owner) => owner === undefined);
  if (!hasUnowned && !input.mayMoveShards) return;
  const causes = createCausesByShard(released);
  const moving = listMovingShards(draft);
  const withdrawals = new Map<string, PlannedMove[]>();
  for (const move of input.placement.plan(createPlacementInput(draft, input))) {
    if (move.shard === undefined) {
      planKeyMove(draft, { input, move });
      continue;
    }
    if (moving.has(move.shard) || move.toServerId === undefined) continue;
    const owner = draft.owners[move.shard];
    if (owner === undefined) {
      const cause = causes.get(move.shard) ??
        { reason: move.reason, fromServerId: undefined };
      draft.assignShard(move.shard, move.toServerId, cause);
    } else if (owner !== move.toServerId) {
      const group = `${owner}/${move.toServerId}/${move.reason}`;
      withdrawals.set(group, [...withdrawals.get(group) ?? [], move]);
    }
  }
  for (const moves of withdrawals.values()) withdrawGroup(draft, moves);
}

function withdrawGroup(draft: RowDraft, moves: readonly PlannedMove[]): void {
  const { reason, toServerId, shard } = moves[0]!;
  draft.withdrawShards(
    draft.owners[shard!]!,
    moves.map((move) => move.shard!),
    { reason, toServerId },
  );
}

function planKeyMove(
  draft: RowDraft,
  { input, move }: {
    readonly input: ShardPlanInput;
    readonly move: PlannedMove;
  },
): void {
  const key = move.key;
  if (key === undefined) return;
  const override = draft.overrides.get(key);
  const shard = computeShard(input.hash, key, input.definition);
  const owner = override === undefined
    ? draft.owners[shard]
    : override.serverId;
  if (owner === undefined || owner === noServerId) return;
  if (owner === move.toServerId) return;
  if (override === undefined && move.toServerId === undefined) return;
  draft.withdrawKey(key, owner, {
    reason: move.reason,
    toServerId: move.toServerId,
  });
}

function assignReleasedKey(
  draft: RowDraft,
  { input, release, cause }: {
    readonly input: ShardPlanInput;
    readonly release: PendingRelease;
    readonly cause: MoveCause;
  },
): void {
  const key = release.key!;
  if (isServerUsable(draft, release.toServerId)) {
    draft.assignKey(key, release.toServerId!, cause);
    return;
  }
  const shard = computeShard(input.hash, key, input.definition);
  draft.removeOverride(key, shard, cause);
}

function createPlacementInput(
  draft: RowDraft,
  input: ShardPlanInput,
): PlacementInput {
  const servers = [...draft.servers.values()]
    .filter((server) => isUsable(server.state))
    .sort((a, b) => a.serverId < b.serverId ? -1 : 1);
  const budget = Math.floor(
    computeMovesPerSecond(input.definition.shardCount),
  );
  const movingCount = listMovingShards(draft).size;
  return {
    definition: input.definition,
    hash: input.hash,
    servers: servers.map(({ serverId, dataCentre }) => ({
      serverId,
      dataCentre,
      acceptsMoves: true,
    })),
    shardOwners: draft.owners,
    shardRates: input.rates.shardRates(),
    overrides: new Map(
      [...draft.overrides]
        .filter(([, { serverId }]) => serverId !== noServerId)
        .map(([key, { serverId }]) => [key, serverId]),
    ),
    hotKeys: input.rates.hotKeys(),
    moveBudget: input.mayMoveShards ? Math.max(0, budget - movingCount) : 0,
  };
}

function listShardsOf(draft: RowDraft, serverId: ServerId): readonly number[] {
  return [...draft.owners.keys()]
    .filter((shard) => draft.owners[shard] === serverId);
}

/** The shards whose former owner's release is pending. */
function listMovingShards(draft: RowDraft): ReadonlySet<number> {
  return new Set(draft.pendingReleases.flatMap(({ shards }) => shards));
}

function createCausesByShard(
  released: readonly PendingRelease[],
): ReadonlyMap<number, MoveCause> {
  const causes = released.flatMap((release) =>
    release.shards.map((shard) =>
      [shard, {
        reason: release.reason,
        fromServerId: release.serverId,
      }] as const
    )
  );
  return new Map(causes);
}

function isServerUsable(
  draft: RowDraft,
  serverId: ServerId | undefined,
): boolean {
  const server = draft.servers.get(serverId ?? noServerId);
  return server !== undefined && isUsable(server.state);
}
