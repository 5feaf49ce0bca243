/**
 * The sync task of a daemon that isn't the coordinator. The task reports to the
 * daemon's parent and applies the newer state and the permit in the answer.
 * When the parent doesn't extend the permit, the task tries the coordinator,
 * and then reads the lease row.
 */
import type { DaemonInfo } from "../../types/types.ts";
import type { ControlState } from "./control_state.ts";
import type { LeaseStore } from "./lease_store.ts";
import type { RelayedReport } from "./report_relay.ts";
import { guardStep } from "./step_guard.ts";
import { trySync } from "./sync_client.ts";
import type { SyncAnswer, SyncReport } from "./sync_messages.ts";
import { isInnerNode, tryGetHolder, tryGetParent } from "./sync_tree.ts";
import { updateViewFromLease } from "./lease_view.ts";

// Divisors of the sync interval for a daemon with children, while a release of
// any daemon is pending, and while a release of this daemon is pending.
const innerNodeDivisor = 2;
const movingDivisor = 3;
const releasingDivisor = 4;

/** Syncs at intervals until aborted. */
export async function runSyncTask(
  state: ControlState,
  store: LeaseStore,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    if (state.tryGetCoordinator() === undefined) {
      await guardStep(state, "sync", () => syncOnce(state, store));
    }
    await state.syncSignal.sleep(state.clock, {
      durationMs: computeIntervalMs(state),
      signal,
    });
  }
}

async function syncOnce(state: ControlState, store: LeaseStore): Promise<void> {
  const relayed = state.relay.take();
  if (await syncWithAny(state, relayed)) return;
  state.relay.restore(relayed);
  const read = await store.tryReadLease();
  if (read !== undefined) await updateViewFromLease(state, { store, read });
}

/** Syncs with each target in turn until one extends the permit. */
async function syncWithAny(
  state: ControlState,
  relayed: RelayedReport,
): Promise<boolean> {
  for (const target of listSyncTargets(state)) {
    const sentAtMs = state.clock.nowMs();
    const report = createReport(state, relayed);
    const answer = await trySync(state, target.address, report);
    if (answer === undefined) continue;
    if (acceptAnswer(state, { answer, sentAtMs })) return true;
  }
  return false;
}

/**
 * Applies an answer and returns whether it extended the permit. The assignments
 * are applied before the permit, so that the permit is never used with rights
 * that the granting daemon knows to be withdrawn.
 */
function acceptAnswer(
  state: ControlState,
  { answer, sentAtMs }: {
    readonly answer: SyncAnswer;
    readonly sentAtMs: number;
  },
): boolean {
  for (const announcement of answer.announcements) {
    state.membership.announce(announcement);
  }
  state.updateView({
    epoch: answer.epoch,
    holderId: answer.holderId,
    membersVersion: answer.membersVersion,
    members: answer.members ?? state.follower.view().members,
  });
  const accepted = answer.assignments.filter((row) =>
    state.assignments.accept(row)
  );
  if (accepted.length > 0 && state.ownReleases().length > 0) {
    state.syncSignal.notify();
  }
  if (!state.follower.isFollowed(answer.epoch)) return false;
  const nowMs = state.clock.nowMs();
  if (answer.tokenMs !== undefined) {
    state.follower.receiveToken(answer.epoch, answer.tokenMs, nowMs);
  }
  if (answer.permitRemainingMs <= 0) return false;
  state.permit.extend(sentAtMs, answer.permitRemainingMs);
  state.lastSyncAtMs = nowMs;
  return true;
}

/** The candidate of the promised epoch, the parent, then the coordinator. */
function listSyncTargets(state: ControlState): readonly DaemonInfo[] {
  const view = state.follower.view();
  const selfId = state.selfId();
  const targets = [
    state.follower.tryGetCandidate(),
    tryGetParent(view, selfId),
    tryGetHolder(view),
  ].filter((target) => target !== undefined)
    .filter((target) => target.daemonId !== selfId);
  return [...new Map(targets.map((t) => [t.daemonId, t])).values()];
}

/** Creates this daemon's report, including the relayed reports. */
export function createReport(
  state: ControlState,
  relayed: RelayedReport,
): SyncReport {
  const view = state.follower.view();
  const sender = state.membership.self();
  const tokenMs = state.follower.confirmedTokenMs();
  return {
    senderId: sender.daemonId,
    epoch: view.epoch,
    membersVersion: view.membersVersion,
    promisedEpoch: state.follower.promisedEpoch(),
    held: state.assignments.heldVersions(),
    heard: [{ daemon: sender, tokenMs }, ...relayed.heard],
    releases: [...state.ownReleases(), ...relayed.releases],
    observations: relayed.observations,
    announcements: state.membership.knownAnnouncements(),
  };
}

function computeIntervalMs(state: ControlState): number {
  const { syncIntervalMs } = state.options;
  const selfId = state.selfId();
  const releases = state.assignments.rows().flatMap((row) =>
    row.pendingReleases
  );
  const isReleasing = releases.some(({ daemonId }) => daemonId === selfId);
  if (isReleasing) return syncIntervalMs / releasingDivisor;
  if (releases.length > 0) return syncIntervalMs / movingDivisor;
  const isInner = isInnerNode(state.follower.view(), selfId);
  return isInner ? syncIntervalMs / innerNodeDivisor : syncIntervalMs;
}
