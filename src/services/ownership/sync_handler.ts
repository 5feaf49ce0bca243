/**
 * Answers the reports of other daemons, as their parent in the sync tree or as
 * the coordinator, and the promise requests of candidates.
 */
import type { ControlState } from "./control_state.ts";
import { isUrgentState } from "./server_states.ts";
import type {
  PromiseAnswer,
  PromiseRequest,
  SyncAnswer,
  SyncReport,
} from "./sync_messages.ts";
import { tryGetParent } from "./sync_tree.ts";

interface GrantedPermit {
  readonly permitRemainingMs: number;
  readonly tokenMs: number | undefined;
}

const noPermit: GrantedPermit = { permitRemainingMs: 0, tokenMs: undefined };

/**
 * Processes a report, and answers with a permit and with the newer members,
 * assignments and announcements of this daemon.
 */
export function answerSync(
  state: ControlState,
  report: SyncReport,
): SyncAnswer {
  for (const announcement of report.announcements) {
    state.membership.announce(announcement);
  }
  const granted = grantPermit(state, report);
  const view = state.follower.view();
  const isCurrent = report.membersVersion === view.membersVersion;
  return {
    epoch: view.epoch,
    holderId: view.holderId,
    membersVersion: view.membersVersion,
    members: isCurrent ? undefined : view.members,
    assignments: state.assignments.listNewerThan(report.held),
    announcements: state.membership.knownAnnouncements(),
    ...granted,
  };
}

/** Promises to abandon older epochs unless this daemon's lease row is valid. */
export function answerPromise(
  state: ControlState,
  request: PromiseRequest,
): PromiseAnswer {
  const nowMs = state.clock.nowMs();
  const coordinator = state.tryGetCoordinator();
  if (coordinator?.authority.isRowFresh(nowMs) === true) {
    return { isPromised: false, epoch: coordinator.epoch(), tokenAgeMs: 0 };
  }
  const answer = state.follower.promise(request, nowMs);
  if (answer.isPromised) state.stopCoordinating("promised a newer epoch");
  return answer;
}

function grantPermit(state: ControlState, report: SyncReport): GrantedPermit {
  const nowMs = state.clock.nowMs();
  const childId = report.senderId;
  const coordinator = state.tryGetCoordinator();
  if (coordinator !== undefined) {
    coordinator.receiveReport(report, nowMs);
    if (isUrgent(report)) state.decisionSignal.notify();
    const permitRemainingMs = coordinator.grantPermit(childId, nowMs);
    return { permitRemainingMs, tokenMs: nowMs };
  }
  const parent = tryGetParent(state.follower.view(), childId);
  if (parent?.daemonId !== state.selfId()) return noPermit;
  state.relay.add(
    report.epoch === state.follower.view().epoch
      ? report
      : { ...report, heard: removeTokens(report) },
  );
  if (isUrgent(report)) state.syncSignal.notify();
  return {
    permitRemainingMs: Math.max(0, state.permit.expiresAtMs() - nowMs),
    tokenMs: state.follower.confirmedTokenMs(),
  };
}

/** Whether the report should be processed without waiting for the interval. */
function isUrgent(report: SyncReport): boolean {
  return report.releases.length > 0 ||
    report.observations.some(({ observation }) =>
      isUrgentState(observation.state)
    );
}

/** Removes the tokens, which confirm another epoch than the current one. */
function removeTokens(report: SyncReport): SyncReport["heard"] {
  return report.heard.map(({ daemon }) => ({ daemon, tokenMs: undefined }));
}
