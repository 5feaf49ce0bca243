/**
 * Computes the state of a backend server from the platform's list, the
 * observations of the server's home and the last row of its service.
 */
import { BackendServerState, VmState } from "../../types/enums.ts";
import { assertNever } from "../../types/errors.ts";
import type { AssignedServer, VmRecord } from "../../types/types.ts";
import type { ServerStats } from "./fleet_view.ts";

/** Input for computing the state of a backend server. */
export interface ServerStateInput {
  /** The platform's record; undefined when the platform doesn't list it. */
  readonly vm: VmRecord | undefined;
  /** From the observations of its home; undefined before the first. */
  readonly stats: ServerStats | undefined;
  /** The server in the last row. */
  readonly assigned: AssignedServer | undefined;
}

/**
 * Computes the state of a server. The state that its home observed from real
 * requests takes precedence over the platform's list, with two exceptions: an
 * unlisted server is lost, and a leaving server that isn't lost is draining.
 */
export function computeServerState(
  { vm, stats, assigned }: ServerStateInput,
): BackendServerState {
  if (vm === undefined) return BackendServerState.Lost;
  const observed = stats?.state ?? assigned?.state;
  if (observed === BackendServerState.Lost) return BackendServerState.Lost;
  if (vm.state === VmState.Leaving) return BackendServerState.Draining;
  if (stats !== undefined) return stats.state;
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

/** Whether an observation of this state is reported without delay. */
export function isUrgentState(state: BackendServerState): boolean {
  return state === BackendServerState.Lost ||
    state === BackendServerState.Draining;
}
