/** Judges the state of each backend server from what is known of it. */
import { BackendServerState, VmState } from "../../types/enums.ts";
import { assertNever } from "../../types/errors.ts";
import type { AssignedServer, VmRecord } from "../../types/types.ts";
import type { ServerFigures } from "./fleet_view.ts";

/** What may be known of a backend server. */
export interface ServerEvidence {
  /** The platform's record; undefined when the list no longer shows it. */
  readonly vm: VmRecord | undefined;
  /** What its home observed. */
  readonly figures: ServerFigures | undefined;
  /** How the last row shows it. */
  readonly assigned: AssignedServer | undefined;
}

/**
 * The state of a server. What real requests showed goes before the platform's
 * list, except that a server which leaves receives nothing new.
 */
export function computeServerState(
  { vm, figures, assigned }: ServerEvidence,
): BackendServerState {
  if (vm === undefined) return BackendServerState.Lost;
  const observed = figures?.state ?? assigned?.state;
  if (observed === BackendServerState.Lost) return BackendServerState.Lost;
  if (vm.state === VmState.Leaving) return BackendServerState.Draining;
  if (figures !== undefined) return figures.state;
  const isDrainOver = assigned?.state === BackendServerState.Draining;
  return isDrainOver ? BackendServerState.Live : assigned?.state ??
    BackendServerState.Live;
}

/** Whether a server in this state may own shards. */
export function isUsable(state: BackendServerState): boolean {
  switch (state) {
    case BackendServerState.Live:
    case BackendServerState.Warming:
      return true;
    case BackendServerState.Draining:
    case BackendServerState.Lost:
      return false;
    default:
      return assertNever(state);
  }
}

/** Whether an observation of this state should be reported at once. */
export function isUrgentState(state: BackendServerState): boolean {
  return state === BackendServerState.Lost ||
    state === BackendServerState.Draining;
}
