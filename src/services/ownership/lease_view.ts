/** Updates a daemon's view of the coordinator from the lease row. */
import type { ControlState } from "./control_state.ts";
import { vacantHolderId } from "./coordinator_row.ts";
import type { LeaseStore, VersionedLease } from "./lease_store.ts";

/**
 * Updates the view from a lease row and the members row of the same version.
 * Does nothing when the lease is vacant, when the lease row is not newer than
 * the view, or when the members row cannot be read or has another version.
 */
export async function updateViewFromLease(
  state: ControlState,
  { store, read }: {
    readonly store: LeaseStore;
    readonly read: VersionedLease;
  },
): Promise<void> {
  const lease = read.lease;
  const view = state.follower.view();
  if (lease === undefined || lease.epoch < view.epoch) return;
  if (lease.holderId === vacantHolderId) return;
  const isSameEpoch = lease.epoch === view.epoch;
  if (isSameEpoch && lease.membersVersion <= view.membersVersion) return;
  const isCurrent = lease.membersVersion === view.membersVersion;
  const members = isCurrent ? view : await store.tryReadMembers();
  if (members?.membersVersion !== lease.membersVersion) return;
  state.updateView({
    epoch: lease.epoch,
    holderId: lease.holderId,
    membersVersion: lease.membersVersion,
    members: members.members,
  });
}
