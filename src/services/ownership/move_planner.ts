/**
 * Plans the next row of one service. Each right that changes hands does so in
 * two rows: one that withdraws it, and a later one that gives it away after
 * its former home released it.
 */
import type { AssignmentRow, PendingRelease } from "./assignment_codec.ts";
import {
  giveHomes,
  type HomePlanInput,
  planServers,
  withdrawHomes,
} from "./home_planner.ts";
import { type DraftFacts, RowDraft } from "./row_draft.ts";
import {
  giveReleased,
  planShards,
  type ShardPlanInput,
  withdrawFromUnusable,
} from "./shard_planner.ts";

/** Everything that the plan of one service looks at. */
export interface MovePlanInput extends HomePlanInput, ShardPlanInput {
  readonly facts: DraftFacts;
  readonly row: AssignmentRow | undefined;
  /** Whether the former home can certainly send nothing any more. */
  readonly isReleased: (release: PendingRelease) => boolean;
}

/** Returns the next row, or undefined when nothing changes. */
export function planMoves(input: MovePlanInput): AssignmentRow | undefined {
  const draft = new RowDraft(input.facts, input.row);
  const released = draft.takeReleased(input.isReleased);
  planServers(draft, input);
  withdrawHomes(draft, input);
  withdrawFromUnusable(draft);
  giveHomes(draft, input, released);
  giveReleased(draft, input, released);
  planShards(draft, input, released);
  return draft.isChanged() ? draft.build() : undefined;
}
