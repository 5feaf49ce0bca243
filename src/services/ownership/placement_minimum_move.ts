/**
 * A placement that moves as few shards and keys as possible. Shards without an
 * owner are assigned to the least loaded server. Owned shards move from an
 * overloaded to a less loaded server only when the load exceeds a tolerance,
 * which increases with the service's churn weight.
 */
import type { ServerId } from "../../types/types.ts";
import { HotKeyPlanner } from "./hot_key_planner.ts";
import {
  Placement,
  type PlacementInput,
  type PlannedMove,
} from "./placement.ts";
import {
  getAssignmentReason,
  PlacementDraft,
  type PlacementItem,
} from "./placement_draft.ts";
import type { PlacementOptions } from "./placement_target.ts";
import { LoadTolerance } from "./placement_tolerance.ts";

/** Minimum gain of a move or swap, as a fraction of the mean load. */
const minGainFraction = 0.005;

/** A move from an overloaded server, or a swap when `swappedItem` is set. */
interface CandidateMove {
  readonly item: PlacementItem;
  readonly swappedItem: PlacementItem | undefined;
  readonly target: ServerId;
  /** Decrease of the higher of the two servers' loads. */
  readonly gain: number;
}

/** Keeps current owners unless a server's load exceeds the tolerance. */
export class MinimumMovePlacement extends Placement {
  readonly #hotKeys: HotKeyPlanner;

  constructor({ hotKeys = new HotKeyPlanner() }: PlacementOptions = {}) {
    super();
    this.#hotKeys = hotKeys;
  }

  override plan(input: PlacementInput): readonly PlannedMove[] {
    const draft = new PlacementDraft(input);
    assignUnownedShards(draft);
    this.#hotKeys.plan(draft);
    rebalance(draft);
    return draft.moves();
  }
}

/** Assigns each unowned shard, heaviest first, to the least loaded server. */
function assignUnownedShards(draft: PlacementDraft): void {
  const unowned = draft.items()
    .filter(({ shard }) => shard !== undefined)
    .filter(({ shard }) => draft.tryGetOwner(shard!) === undefined)
    .toSorted((a, b) => b.rate - a.rate || a.shard! - b.shard!);
  for (const item of unowned) {
    const target = draft.tryGetLeastLoadedServer();
    if (target === undefined) return;
    const reason = getAssignmentReason(draft.input.shardOwners[item.shard!]);
    draft.move(item, target, reason);
  }
}

/**
 * Moves load from the most overloaded server until every server is within the
 * tolerance, no move gains enough or the move budget is exhausted.
 */
function rebalance(draft: PlacementDraft): void {
  while (draft.remainingMoves() > 0) {
    const tolerance = new LoadTolerance(draft);
    const overloaded = tolerance.tryGetMostOverloaded();
    if (overloaded === undefined) return;
    const candidate = tryFindBestMove(draft, overloaded);
    if (candidate === undefined) return;
    applyMove(draft, candidate, overloaded);
  }
}

function applyMove(
  draft: PlacementDraft,
  candidate: CandidateMove,
  overloaded: ServerId,
): void {
  const { item, swappedItem, target } = candidate;
  const reason = draft.getMoveReason(target);
  draft.move(item, target, reason);
  if (swappedItem !== undefined) draft.move(swappedItem, overloaded, reason);
}

/**
 * Finds the best single move to the least loaded server. When that gains too
 * little, finds the best swap with the first server that offers enough gain.
 */
function tryFindBestMove(
  draft: PlacementDraft,
  overloaded: ServerId,
): CandidateMove | undefined {
  const minGain = draft.meanLoad() * minGainFraction;
  const targets = draft.listTargetServers().filter((id) => id !== overloaded);
  const itemsByServer = draft.itemsByServer();
  const items = itemsByServer.get(overloaded) ?? [];
  const leastLoaded = targets[0];
  if (leastLoaded === undefined) return undefined;
  const moves = items.map((item) =>
    createCandidate(draft, {
      item,
      swappedItem: undefined,
      target: leastLoaded,
      overloaded,
    })
  );
  const move = findHighestGain(moves);
  if (move !== undefined && move.gain >= minGain) return move;
  if (draft.remainingMoves() < 2) return undefined;
  for (const target of targets) {
    const swaps = items.flatMap((item) =>
      (itemsByServer.get(target) ?? []).map((swappedItem) =>
        createCandidate(draft, { item, swappedItem, target, overloaded })
      )
    );
    const swap = findHighestGain(swaps);
    if (swap !== undefined && swap.gain >= minGain) return swap;
  }
  return undefined;
}

function createCandidate(
  draft: PlacementDraft,
  { item, swappedItem, target, overloaded }: {
    readonly item: PlacementItem;
    readonly swappedItem: PlacementItem | undefined;
    readonly target: ServerId;
    readonly overloaded: ServerId;
  },
): CandidateMove {
  const movedRate = item.rate - (swappedItem?.rate ?? 0);
  const before = draft.load(overloaded);
  const after = Math.max(before - movedRate, draft.load(target) + movedRate);
  return { item, swappedItem, target, gain: before - after };
}

function findHighestGain(
  candidates: readonly CandidateMove[],
): CandidateMove | undefined {
  let best: CandidateMove | undefined;
  for (const candidate of candidates) {
    if (best === undefined || candidate.gain > best.gain) best = candidate;
  }
  return best;
}
