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
  orphanReason,
  PlacementDraft,
  type PlacementItem,
} from "./placement_draft.ts";
import type { PlacementOptions } from "./placement_target.ts";
import { LoadTolerance } from "./placement_tolerance.ts";

/** Minimum gain of a move or swap, as a fraction of the mean load. */
const minGainShare = 0.005;

/** A move from an overloaded server, or a swap when `swappedItem` is set. */
interface Relief {
  readonly item: PlacementItem;
  readonly back: PlacementItem | undefined;
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
    assignOrphans(draft);
    this.#hotKeys.plan(draft);
    rebalance(draft);
    return draft.moves();
  }
}

/** Assigns each unowned shard, heaviest first, to the least loaded server. */
function assignOrphans(draft: PlacementDraft): void {
  const orphans = draft.items()
    .filter(({ shard }) => shard !== undefined)
    .filter(({ shard }) => draft.tryGetOwner(shard!) === undefined)
    .toSorted((a, b) => b.rate - a.rate || a.shard! - b.shard!);
  for (const item of orphans) {
    const target = draft.tryGetLightest();
    if (target === undefined) return;
    const reason = orphanReason(draft.input.shardOwners[item.shard!]);
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
    const relief = tryFindRelief(draft, overloaded);
    if (relief === undefined) return;
    applyRelief(draft, relief, overloaded);
  }
}

function applyRelief(
  draft: PlacementDraft,
  relief: Relief,
  overloaded: ServerId,
): void {
  const { item, back, target } = relief;
  const reason = draft.moveReason(target);
  draft.move(item, target, reason);
  if (back !== undefined) draft.move(back, overloaded, reason);
}

/**
 * Finds the best single move to the least loaded server. When that gains too
 * little, finds the best swap with the first server that offers enough gain.
 */
function tryFindRelief(
  draft: PlacementDraft,
  overloaded: ServerId,
): Relief | undefined {
  const minGain = draft.meanLoad() * minGainShare;
  const targets = draft.targets().filter((id) => id !== overloaded);
  const itemsByServer = draft.itemsByServer();
  const items = itemsByServer.get(overloaded) ?? [];
  const lightest = targets[0];
  if (lightest === undefined) return undefined;
  const moves = items.map((item) =>
    createRelief(draft, { item, back: undefined, target: lightest, overloaded })
  );
  const move = findHighestGain(moves);
  if (move !== undefined && move.gain >= minGain) return move;
  if (draft.remainingMoves() < 2) return undefined;
  for (const target of targets) {
    const exchanges = items.flatMap((item) =>
      (itemsByServer.get(target) ?? []).map((back) =>
        createRelief(draft, { item, back, target, overloaded })
      )
    );
    const exchange = findHighestGain(exchanges);
    if (exchange !== undefined && exchange.gain >= minGain) return exchange;
  }
  return undefined;
}

function createRelief(
  draft: PlacementDraft,
  { item, back, target, overloaded }: {
    readonly item: PlacementItem;
    readonly back: PlacementItem | undefined;
    readonly target: ServerId;
    readonly overloaded: ServerId;
  },
): Relief {
  const movedRate = item.rate - (back?.rate ?? 0);
  const before = draft.load(overloaded);
  const after = Math.max(before - movedRate, draft.load(target) + movedRate);
  return { item, back, target, gain: before - after };
}

function findHighestGain(reliefs: readonly Relief[]): Relief | undefined {
  let best: Relief | undefined;
  for (const relief of reliefs) {
    if (best === undefined || relief.gain > best.gain) best = relief;
  }
  return best;
}
