/**
 * Plans the next row of one service. A right moves in two rows: the first
 * withdraws it, and a later one assigns it after its former home released it.
 */
import type { AssignmentRow, PendingRelease } from "./assignment_codec.ts";
import {
  assignHomes,
  type HomePlanInput,
  planServers,
  withdrawHomes,
} from "./home_planner.ts";
import { RowDraft, type RowMetadata } from "./row_draft.ts";
import {
  assignReleased,
  planShards,
  type ShardPlanInput,
  withdrawFromUnusableServers,
} from "./shard_planner.ts";

/** Input for planning the row of one service. */
export interface MovePlanInput extends HomePlanInput, ShardPlanInput {
  readonly metadata: RowMetadata;
  readonly row: AssignmentRow | undefined;
  /** Whether the former home can no longer send work under the release. */
  readonly isReleased: (release: PendingRelease) => boolean;
}

/** Returns the next row, or undefined when nothing changes. */
export function planMoves(input: MovePlanInput): AssignmentRow | undefined {
  const draft = new RowDraft(input.metadata, input.row);
  const released = draft.takeReleased(input.isReleased);
  planServers(draft, input);
  withdrawHomes(draft, input);
  withdrawFromUnusableServers(draft);
  assignHomes(draft, input, released);
  assignReleased(draft, input, released);
  planShards(draft, input, released);
  return draft.isChanged() ? draft.build() : undefined;
}
