/**
 * The lease task. While this daemon is the coordinator, the task renews the
 * lease row and commits planned rows and members; otherwise it watches the
 * lease row for a takeover. `coordinator.ts` makes the plans, and `takeover.ts`
 * obtains the lease.
 */
import { CounterName } from "../metrics/metrics.ts";
import type { DaemonInfo } from "../../types/types.ts";
import { type AssignmentRow } from "./assignment_codec.ts";
import {
  challengeIntervalMs,
  decisionIntervalMs,
  leaseReclaimDelayMs,
  watchIntervalMs,
} from "./control_options.ts";
import type { ControlState } from "./control_state.ts";
import type { Coordinator } from "./coordinator.ts";
import { vacantHolderId } from "./coordinator_row.ts";
import { CommitOutcome, type LeaseStore } from "./lease_store.ts";
import { createReport } from "./sync_task.ts";
import { guardStep } from "./step_guard.ts";
import { Takeover } from "./takeover.ts";
import { updateViewFromLease } from "./lease_view.ts";

/** The content of the next transaction beside the lease row. */
interface Decision {
  readonly rows: readonly AssignmentRow[];
  readonly members: readonly DaemonInfo[];
  readonly isMembersChanged: boolean;
}

/** Renews or watches the lease. */
export class LeaseTask {
  readonly #state: ControlState;
  readonly #store: LeaseStore;
  readonly #takeover: Takeover;
  #leaseVersion = 0;
  #renewalCount = 0;
  #renewedAtMs = Number.NEGATIVE_INFINITY;
  #mustReload = true;
  #challengeReadAtMs = Number.NEGATIVE_INFINITY;
  #challengeVersion: number | undefined;

  constructor(state: ControlState, store: LeaseStore) {
    this.#state = state;
    this.#store = store;
    this.#takeover = new Takeover(state, store);
  }

  /** Runs until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, decisionSignal } = this.#state;
    while (!signal.aborted) {
      const coordinator = this.#state.tryGetCoordinator();
      if (coordinator === undefined) {
        this.#mustReload = true;
        await guardStep(
          this.#state,
          "watch lease",
          () => this.#takeover.pollLeaseOnce(signal),
        );
        const hasLease = this.#state.tryGetCoordinator() !== undefined;
        if (!hasLease) await clock.sleep(watchIntervalMs, signal);
        continue;
      }
      const startedAtMs = clock.nowMs();
      await guardStep(
        this.#state,
        "hold lease",
        () => this.#coordinateOnce(coordinator),
      );
      await decisionSignal.sleep(clock, {
        durationMs: decisionIntervalMs,
        signal,
      });
      this.#keepLiveAfterSuspension(coordinator, startedAtMs);
    }
  }

  /**
   * Keeps other daemons live after a suspension of this process, during which it
   * could not receive their reports.
   */
  #keepLiveAfterSuspension(
    coordinator: Coordinator,
    startedAtMs: number,
  ): void {
    const nowMs = this.#state.clock.nowMs();
    const limitMs = this.#state.options.leaseDurationMs + decisionIntervalMs;
    if (nowMs - startedAtMs > 2 * limitMs) {
      coordinator.keepLiveAfterSuspension(startedAtMs, nowMs);
    }
  }

  async #coordinateOnce(coordinator: Coordinator): Promise<void> {
    if (this.#mustReload && !await this.#reload(coordinator)) return;
    const nowMs = this.#state.clock.nowMs();
    coordinator.receiveReport(
      createReport(this.#state, this.#state.relay.take()),
      nowMs,
    );
    const decision = decide(this.#state, { coordinator, nowMs });
    if (this.#mayResign(coordinator, nowMs)) {
      return await this.#resign("draining");
    }
    if (await this.#isChallenged(coordinator, nowMs)) {
      return await this.#resign("the members cannot reach this daemon");
    }
    const isRenewalDue =
      nowMs - this.#renewedAtMs >= this.#state.options.syncIntervalMs;
    const isChanged = decision.rows.length > 0 || decision.isMembersChanged;
    if (isChanged || isRenewalDue) await this.#commit(coordinator, decision);
  }

  async #commit(coordinator: Coordinator, decision: Decision): Promise<void> {
    const sentAtMs = this.#state.clock.nowMs();
    const before = this.#state.follower.view();
    const view = {
      epoch: coordinator.nextEpoch(),
      holderId: this.#state.selfId(),
      membersVersion: before.membersVersion +
        (decision.isMembersChanged ? 1 : 0),
      members: decision.members,
    };
    const { epoch, holderId, membersVersion, members } = view;
    const outcome = await this.#store.commit({
      leaseVersion: this.#leaseVersion,
      lease: {
        epoch,
        holderId,
        membersVersion,
        renewalCount: this.#renewalCount,
      },
      members: decision.isMembersChanged
        ? { membersVersion, members }
        : undefined,
      rows: decision.rows,
    });
    coordinator.recordCommitDuration(this.#state.clock.nowMs() - sentAtMs);
    if (outcome === CommitOutcome.Committed) {
      this.#leaseVersion += 1;
      this.#renewalCount += 1;
      this.#renewedAtMs = sentAtMs;
      if (this.#state.tryGetCoordinator() !== coordinator) return;
      coordinator.authority.confirmRow(view, sentAtMs);
      this.#state.updateView(view);
      this.#publishRows(coordinator, decision.rows);
      return;
    }
    if (outcome === CommitOutcome.Failed) return;
    if (decision.isMembersChanged) {
      coordinator.authority.addMembersList(members);
    }
    this.#mustReload = true;
  }

  /**
   * Reads the rows after the lease was taken, and after a write whose outcome
   * is unknown. Returns false when the rows could not be read or another daemon
   * wrote the lease row.
   */
  async #reload(coordinator: Coordinator): Promise<boolean> {
    const read = await this.#store.tryReadLease();
    if (read?.lease === undefined) return false;
    if (!this.#store.isOwnWrite(read.lease)) {
      await updateViewFromLease(this.#state, { store: this.#store, read });
      this.#state.stopCoordinating("the lease row has another writer");
      return false;
    }
    const members = await this.#store.tryReadMembers();
    const rows = await this.#store.tryReadAssignments();
    if (members === undefined || rows === undefined) return false;
    if (this.#state.tryGetCoordinator() !== coordinator) return false;
    this.#leaseVersion = read.version;
    coordinator.authority.setMembersList(members.members);
    this.#state.updateView({
      ...members,
      epoch: read.lease.epoch,
      holderId: read.lease.holderId,
    });
    if (!coordinator.isLoaded()) coordinator.finishLoading(members.members);
    this.#publishRows(coordinator, rows);
    this.#mustReload = false;
    return true;
  }

  #publishRows(coordinator: Coordinator, rows: readonly AssignmentRow[]): void {
    const { assignments, clock, metrics } = this.#state;
    const newer = rows.filter((row) => assignments.accept(row));
    for (const row of newer) countMoves(metrics, row);
    coordinator.recordPublished(newer, clock.nowMs());
  }

  /**
   * Whether this daemon is draining, its servers have other homes and another
   * daemon could take the lease.
   */
  #mayResign(coordinator: Coordinator, nowMs: number): boolean {
    const self = this.#state.membership.self();
    if (!self.isDraining) return false;
    const isHome = this.#state.assignments.rows().some((row) =>
      row.servers.some((s) => s.homeDaemonId === self.daemonId) ||
      row.pendingReleases.some((p) => p.daemonId === self.daemonId)
    );
    return !isHome && coordinator.hasSuccessor(nowMs);
  }

  /**
   * Whether the coordinator should resign: it hears from fewer than half of the
   * members, and a daemon that can't reach it wrote a new challenge.
   */
  async #isChallenged(
    coordinator: Coordinator,
    nowMs: number,
  ): Promise<boolean> {
    if (!coordinator.isIsolated(nowMs)) return false;
    if (nowMs - this.#challengeReadAtMs < challengeIntervalMs) return false;
    this.#challengeReadAtMs = nowMs;
    const challenge = await this.#store.tryReadChallenge();
    const before = this.#challengeVersion;
    if (challenge === undefined) return false;
    this.#challengeVersion = challenge.version;
    return challenge.epoch === coordinator.epoch() &&
      challenge.version !== before;
  }

  async #resign(cause: string): Promise<void> {
    const { epoch, membersVersion } = this.#state.follower.view();
    this.#state.stopCoordinating(cause);
    this.#state.leaseClaimAllowedAtMs = this.#state.clock.nowMs() +
      leaseReclaimDelayMs;
    await this.#store.commit({
      leaseVersion: this.#leaseVersion,
      lease: {
        epoch,
        holderId: vacantHolderId,
        membersVersion,
        renewalCount: this.#renewalCount,
      },
      members: undefined,
      rows: [],
    });
  }
}

function decide(
  state: ControlState,
  { coordinator, nowMs }: {
    readonly coordinator: Coordinator;
    readonly nowMs: number;
  },
): Decision {
  const members = coordinator.planMembers(nowMs);
  const before = state.follower.view().members;
  return {
    rows: coordinator.planRows(nowMs),
    members,
    isMembersChanged: JSON.stringify(members) !== JSON.stringify(before),
  };
}

function countMoves(
  metrics: ControlState["metrics"],
  row: AssignmentRow,
): void {
  const started = row.pendingReleases
    .filter(({ sinceVersion }) => sinceVersion === row.version);
  const finished = row.moves.filter(({ version }) => version === row.version);
  if (started.length > 0) {
    metrics.count(CounterName.MovesStarted, undefined, started.length);
  }
  if (finished.length > 0) {
    metrics.count(CounterName.MovesFinished, undefined, finished.length);
  }
}
