/**
 * Plans the next row of one service. A home, shard or key moves in two rows:
 * the first row withdraws it, and a later row assigns it after the release.
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
  /** Whether a release is complete, as `ReleaseTracker` determines. */
  readonly isReleased: (release: PendingRelease) => boolean;
}

/** Returns the next row, or undefined when nothing changes. */
export function planMoves(input: MovePlanInput): AssignmentRow | undefined {
  const draft = new RowDraft(input.metadata, input.row);
  const released = draft.removeReleased(input.isReleased);
  planServers(draft, input);
  withdrawHomes(draft, input);
  withdrawFromUnusableServers(draft);
  assignHomes(draft, input, released);
  assignReleased(draft, input, released);
  planShards(draft, input, released);
  return draft.isChanged() ? draft.build() : undefined;
}
