/**
 * Plans which daemons the members row lists. Their order is kept, because the
 * sync tree and the ranks of watchers depend on it.
 */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";

/** Input for planning the members. */
export interface MemberFacts {
  readonly recorded: readonly DaemonInfo[];
  /** Daemons that missed no more syncs than allowed. */
  readonly live: readonly DaemonInfo[];
  /** Daemons heard within the timeout after which a silent member is removed. */
  readonly rememberedIds: ReadonlySet<DaemonId>;
  /** Identifiers of the platform's VMs; empty while the list is unknown. */
  readonly listedIds: ReadonlySet<string>;
}

/** Returns the members that remain, in recorded order, then those that joined. */
export function planMembers(facts: MemberFacts): readonly DaemonInfo[] {
  const { recorded, rememberedIds, listedIds } = facts;
  const live = new Map(
    facts.live.map((daemon) => [daemon.daemonId, daemon]),
  );
  const kept = recorded
    .filter(({ daemonId }) =>
      live.has(daemonId) ||
      (rememberedIds.has(daemonId) &&
        (listedIds.size === 0 || listedIds.has(daemonId)))
    )
    .map((daemon) => live.get(daemon.daemonId) ?? daemon);
  const keptIds = new Set(kept.map(({ daemonId }) => daemonId));
  const joined = facts.live.filter((d) => !keptIds.has(d.daemonId));
  return [...kept, ...joined];
}
