/**
 * The task by which a daemon keeps in touch with its parent: it reports what
 * it holds and takes what is newer. When the parent does not answer it turns
 * to the coordinator, then to the lease row.
 */
import type { DaemonInfo } from "../../types/types.ts";
import type { ControlState } from "./control_state.ts";
import type { LeaseStore } from "./lease_store.ts";
import type { RelayedReport } from "./report_relay.ts";
import { guardStep } from "./step_guard.ts";
import { trySync } from "./sync_client.ts";
import type { SyncAnswer, SyncReport } from "./sync_messages.ts";
import { isInnerNode, tryGetHolder, tryGetParent } from "./sync_tree.ts";
import { learnLease } from "./view_reader.ts";

/** Divisors of the interval of a daemon for which others wait, or that waits. */
const innerNodeDivisor = 2;
const movingDivisor = 3;
const releasingDivisor = 4;

/** Syncs until aborted. */
export async function runSyncTask(
  state: ControlState,
  store: LeaseStore,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    if (state.tryGetCoordinator() === undefined) {
      await guardStep(state, "sync", () => syncOnce(state, store));
    }
    await state.urgent.sleep(state.clock, {
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
  if (read !== undefined) await learnLease(state, { store, read });
}

/** Tries each peer in turn; returns whether one extended the permit. */
async function syncWithAny(
  state: ControlState,
  relayed: RelayedReport,
): Promise<boolean> {
  for (const target of listTargets(state)) {
    const sentAtMs = state.clock.nowMs();
    const report = createReport(state, relayed);
    const answer = await trySync(state, target.address, report);
    if (answer === undefined) continue;
    if (acceptAnswer(state, { answer, sentAtMs })) return true;
  }
  return false;
}

/** Takes what is newer, then the permit that came with it. */
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
  state.learnView({
    epoch: answer.epoch,
    holderId: answer.holderId,
    membersVersion: answer.membersVersion,
    members: answer.members ?? state.record.view().members,
  });
  const accepted = answer.assignments.filter((row) => state.book.accept(row));
  if (accepted.length > 0 && state.ownReleases().length > 0) {
    state.urgent.notify();
  }
  if (!state.record.isFollowed(answer.epoch)) return false;
  const nowMs = state.clock.nowMs();
  if (answer.tokenMs !== undefined) {
    state.record.receiveToken(answer.epoch, answer.tokenMs, nowMs);
  }
  if (answer.permitRemainingMs <= 0) return false;
  state.permit.extend(sentAtMs, answer.permitRemainingMs);
  state.lastSyncAtMs = nowMs;
  return true;
}

/** A candidate this daemon promised to, its parent, then the coordinator. */
function listTargets(state: ControlState): readonly DaemonInfo[] {
  const view = state.record.view();
  const selfId = state.selfId();
  const targets = [
    state.record.tryGetCandidate(),
    tryGetParent(view, selfId),
    tryGetHolder(view),
  ].filter((target) => target !== undefined)
    .filter((target) => target.daemonId !== selfId);
  return [...new Map(targets.map((t) => [t.daemonId, t])).values()];
}

/** This daemon's report, with what its children reported. */
export function createReport(
  state: ControlState,
  relayed: RelayedReport,
): SyncReport {
  const view = state.record.view();
  const sender = state.membership.self();
  const tokenMs = state.record.confirmedTokenMs();
  return {
    senderId: sender.daemonId,
    epoch: view.epoch,
    membersVersion: view.membersVersion,
    promisedEpoch: state.record.promisedEpoch(),
    held: state.book.heldVersions(),
    heard: [{ daemon: sender, tokenMs }, ...relayed.heard],
    releases: [...state.ownReleases(), ...relayed.releases],
    observations: relayed.observations,
    announcements: state.membership.knownAnnouncements(),
  };
}

function computeIntervalMs(state: ControlState): number {
  const { syncIntervalMs } = state.options;
  const selfId = state.selfId();
  const releases = state.book.rows().flatMap((row) => row.pendingReleases);
  const isReleasing = releases.some(({ daemonId }) => daemonId === selfId);
  if (isReleasing) return syncIntervalMs / releasingDivisor;
  if (releases.length > 0) return syncIntervalMs / movingDivisor;
  const isInner = isInnerNode(state.record.view(), selfId);
  return isInner ? syncIntervalMs / innerNodeDivisor : syncIntervalMs;
}
