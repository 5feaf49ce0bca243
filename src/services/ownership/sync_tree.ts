/**
 * The tree in which daemons sync: the coordinator at the root, the members
 * below it in the order of the members row, a bounded number to each parent.
 */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";
import type { CoordinatorView } from "./sync_messages.ts";

/** Daemons that sync with one parent. */
export const treeFanOut = 25;

/** The members with the coordinator first. */
function orderMembers(view: CoordinatorView): readonly DaemonInfo[] {
  const isHolder = (d: DaemonInfo) => d.daemonId === view.holderId;
  return [
    ...view.members.filter(isHolder),
    ...view.members.filter((daemon) => !isHolder(daemon)),
  ];
}

/** The coordinator's address; undefined when it is not among the members. */
export function tryGetHolder(view: CoordinatorView): DaemonInfo | undefined {
  return view.members.find(({ daemonId }) => daemonId === view.holderId);
}

/**
 * The daemon that `daemonId` syncs with. A daemon that is not yet a member
 * syncs with the coordinator; the coordinator with nobody.
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

/** Whether other members sync with `daemonId`, the coordinator aside. */
export function isInnerNode(
  view: CoordinatorView,
  daemonId: DaemonId,
): boolean {
  const ordered = orderMembers(view);
  const index = ordered.findIndex((daemon) => daemon.daemonId === daemonId);
  return index > 0 && index * treeFanOut + 1 < ordered.length;
}

/** Place among the members without the coordinator; past all if unknown. */
export function rankOf(view: CoordinatorView, daemonId: DaemonId): number {
  const others = view.members.filter((d) => d.daemonId !== view.holderId);
  const index = others.findIndex((daemon) => daemon.daemonId === daemonId);
  return index < 0 ? others.length : index;
}
