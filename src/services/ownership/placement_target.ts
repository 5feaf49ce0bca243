/**
 * The base class of placements that compute a target owner for every shard and
 * then move shards to their targets as far as the move budget allows.
 */
import type { ServerId } from "../../types/types.ts";
import { HotKeyPlanner } from "./hot_key_planner.ts";
import {
  Placement,
  type PlacementInput,
  type PlannedMove,
} from "./placement.ts";
import { getAssignmentReason, PlacementDraft } from "./placement_draft.ts";

/** Options of the placements that also plan hot keys. */
export interface PlacementOptions {
  readonly hotKeys?: HotKeyPlanner;
}

/** Moves each shard to the target owner that the subclass computes. */
export abstract class TargetPlacement extends Placement {
  readonly #hotKeys: HotKeyPlanner;

  constructor({ hotKeys = new HotKeyPlanner() }: PlacementOptions = {}) {
    super();
    this.#hotKeys = hotKeys;
  }

  override plan(input: PlacementInput): readonly PlannedMove[] {
    const draft = new PlacementDraft(input);
    const targets = this.computeTargets(draft);
    assignUnownedShards(draft, targets);
    this.#hotKeys.plan(draft);
    moveToTargets(draft, targets);
    return draft.moves();
  }

  /** The target owner of each shard; undefined when no server accepts moves. */
  protected abstract computeTargets(
    draft: PlacementDraft,
  ): readonly (ServerId | undefined)[];
}

function assignUnownedShards(
  draft: PlacementDraft,
  targets: readonly (ServerId | undefined)[],
): void {
  for (const [shard, target] of targets.entries()) {
    if (target === undefined || draft.tryGetOwner(shard) !== undefined) {
      continue;
    }
    const reason = getAssignmentReason(draft.input.shardOwners[shard]);
    const item = { shard, key: undefined, rate: draft.shardRate(shard) };
    draft.move(item, target, reason);
  }
}

function moveToTargets(
  draft: PlacementDraft,
  targets: readonly (ServerId | undefined)[],
): void {
  for (const [shard, target] of targets.entries()) {
    if (target === undefined || draft.tryGetOwner(shard) === target) continue;
    const reason = draft.getMoveReason(target);
    const item = { shard, key: undefined, rate: draft.shardRate(shard) };
    if (!draft.move(item, target, reason)) return;
  }
}
