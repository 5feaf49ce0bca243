/**
 * Keeps owners and moves as little as possible: shards without an owner go to
 * the least loaded server, and owned ones move from an overloaded to a less
 * loaded server only when the load leaves a tolerance that widens with the
 * service's churn weight.
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

/** Least relief of the overloaded server, as a share of the mean load. */
const minGainShare = 0.005;

/** A move, or an exchange when `back` is set. */
interface Relief {
  readonly item: PlacementItem;
  readonly back: PlacementItem | undefined;
  readonly target: ServerId;
  /** By how much the higher of the two loads falls. */
  readonly gain: number;
}

/** Rebalances with the fewest moves. */
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

/** Gives every shard without an owner to the least loaded server. */
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

/** Relieves the most overloaded server until all are within tolerance. */
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

/** The best single move, or the best exchange when no move helps. */
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
