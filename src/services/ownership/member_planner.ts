/**
 * Plans which daemons the members row lists. Their order is kept, because the
 * sync tree and the ranks of watchers depend on it.
 */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";

/** Input for planning the members. */
export interface MemberPlanInput {
  readonly recorded: readonly DaemonInfo[];
  /** Daemons that missed no more syncs than allowed. */
  readonly live: readonly DaemonInfo[];
  /** Daemons heard within the timeout after which a member is removed. */
  readonly rememberedIds: ReadonlySet<DaemonId>;
  /** Identifiers of the platform's VMs; empty while the list is unknown. */
  readonly listedIds: ReadonlySet<string>;
}

/** Returns the remaining members in recorded order, then those that joined. */
export function planMembers(input: MemberPlanInput): readonly DaemonInfo[] {
  const { recorded, rememberedIds, listedIds } = input;
  const live = new Map(
    input.live.map((daemon) => [daemon.daemonId, daemon]),
  );
  const kept = recorded
    .filter(({ daemonId }) =>
      live.has(daemonId) ||
      (rememberedIds.has(daemonId) &&
        (listedIds.size === 0 || listedIds.has(daemonId)))
    )
    .map((daemon) => live.get(daemon.daemonId) ?? daemon);
  const keptIds = new Set(kept.map(({ daemonId }) => daemonId));
  const joined = input.live.filter((d) => !keptIds.has(d.daemonId));
  return [...kept, ...joined];
}
