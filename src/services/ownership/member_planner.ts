/** Plans which daemons are recorded as members of the region. */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";

/** What the plan is made from. */
export interface MemberFacts {
  readonly recorded: readonly DaemonInfo[];
  /** Daemons heard lately. */
  readonly live: readonly DaemonInfo[];
  /** Daemons heard within the time after which a silent one is forgotten. */
  readonly rememberedIds: ReadonlySet<DaemonId>;
  /** The platform's list of VMs; empty when it is unknown. */
  readonly listedIds: ReadonlySet<string>;
}

/** The recorded members that stay, in their order, then those that joined. */
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
