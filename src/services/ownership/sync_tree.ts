/**
 * The tree along which daemons sync. The coordinator is the root. The other
 * members follow level by level in the order of the members row, with a bounded
 * number of children for each parent.
 */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";
import type { CoordinatorView } from "./sync_messages.ts";

/** Maximum number of children of a parent. */
export const treeFanOut = 25;

/** Returns the members with the coordinator first. */
function orderMembers(view: CoordinatorView): readonly DaemonInfo[] {
  const isHolder = (d: DaemonInfo) => d.daemonId === view.holderId;
  return [
    ...view.members.filter(isHolder),
    ...view.members.filter((daemon) => !isHolder(daemon)),
  ];
}

/** The coordinator; undefined when it is not among the members. */
export function tryGetHolder(view: CoordinatorView): DaemonInfo | undefined {
  return view.members.find(({ daemonId }) => daemonId === view.holderId);
}

/**
 * The parent that `daemonId` syncs with. A daemon that is not yet a member
 * syncs with the coordinator. The coordinator has no parent.
 */
export function tryGetParent(
  view: CoordinatorView,
  daemonId: DaemonId,
): DaemonInfo | undefined {
  if (daemonId === view.holderId) return undefined;
  const ordered = orderMembers(view);
  const index = ordered.findIndex((daemon) => daemon.daemonId === daemonId);
  if (index < 0) return tryGetHolder(view);
  return ordered[Math.floor((index - 1) / treeFanOut)];
}

/** Whether `daemonId` is not the coordinator and has children. */
export function isInnerNode(
  view: CoordinatorView,
  daemonId: DaemonId,
): boolean {
  const ordered = orderMembers(view);
  const index = ordered.findIndex((daemon) => daemon.daemonId === daemonId);
  return index > 0 && index * treeFanOut + 1 < ordered.length;
}

/**
 * The position of a daemon among the members other than the coordinator; the
 * number of those members if the daemon is not a member.
 */
export function computeRank(view: CoordinatorView, daemonId: DaemonId): number {
  const others = view.members.filter((d) => d.daemonId !== view.holderId);
  const index = others.findIndex((daemon) => daemon.daemonId === daemonId);
  return index < 0 ? others.length : index;
}
