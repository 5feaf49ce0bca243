/**
 * The takeover of the lease from another daemon. A candidate must observe the
 * lease row unchanged for a whole lease duration by its own clock. It must also
 * have promises of half or more of the epoch's members, and the last
 * confirmation of each of them must have expired. The previous coordinator then
 * has authority neither by its lease row nor by a majority, and compare-and-set
 * decides between candidates.
 */
import { CounterName } from "../metrics/metrics.ts";
import type { DaemonInfo } from "../../types/types.ts";
import type { ControlState } from "./control_state.ts";
import {
  challengeIntervalMs,
  watcherCount,
  watcherStaggerMs,
} from "./control_options.ts";
import { Coordinator } from "./coordinator.ts";
import {
  type LeaseRow,
  type MembersRow,
  vacantHolderId,
} from "./coordinator_row.ts";
import {
  CommitOutcome,
  type LeaseStore,
  type VersionedLease,
} from "./lease_store.ts";
import { collectPromises } from "./promise_round.ts";
import { computeRank } from "./sync_tree.ts";
import { updateViewFromLease } from "./lease_view.ts";

/** A lease row to replace, and when its holder's authority ended. */
interface Claim {
  readonly leaseVersion: number;
  readonly lease: LeaseRow | undefined;
  readonly members: MembersRow;
  readonly epoch: number;
  readonly previousEndedAtMs: number;
}

/** A claim that was sent, and whose answer may have been lost. */
interface SentClaim extends Claim {
  readonly sentAtMs: number;
}

/** Watches the lease row and claims the lease when the conditions are met. */
export class Takeover {
  readonly #state: ControlState;
  readonly #store: LeaseStore;
  #observed: VersionedLease | undefined;
  #sentClaim: SentClaim | undefined;
  #challengedAtMs = Number.NEGATIVE_INFINITY;

  constructor(state: ControlState, store: LeaseStore) {
    this.#state = state;
    this.#store = store;
  }

  /** Polls the lease row once, and claims or challenges the lease if due. */
  async pollLeaseOnce(signal: AbortSignal): Promise<void> {
    if (!this.#mustWatch()) {
      this.#observed = undefined;
      return;
    }
    const read = await this.#store.tryReadLease();
    if (read === undefined) {
      this.#observed = undefined;
      return;
    }
    if (this.#tryCompleteClaim(read)) return;
    await updateViewFromLease(this.#state, { store: this.#store, read });
    if (this.#state.membership.self().isDraining) return;
    if (this.#state.clock.nowMs() < this.#state.leaseClaimAllowedAtMs) return;
    const { lease } = read;
    if (lease === undefined || lease.holderId === vacantHolderId) {
      return await this.#claimVacant(read);
    }
    if (this.#observed?.version !== read.version) {
      this.#observed = read;
      return await this.#challengeIfCutOff(lease);
    }
    const unchangedMs = read.receivedAtMs - this.#observed.receivedAtMs;
    if (unchangedMs < this.#computeTakeoverDelayMs()) return;
    await this.#replace(this.#observed, { lease, signal });
  }

  /**
   * Whether this daemon polls the lease row. To limit the load on the table,
   * only the daemons of the lowest ranks do, and those that promised to a
   * candidate or couldn't sync for a lease duration.
   */
  #mustWatch(): boolean {
    const { follower, clock, lastSyncAtMs, options } = this.#state;
    if (follower.tryGetCandidate() !== undefined) return true;
    if (clock.nowMs() - lastSyncAtMs > options.leaseDurationMs) return true;
    return computeRank(follower.view(), this.#state.selfId()) < watcherCount;
  }

  /**
   * Writes a challenge when the holder renews the lease but this daemon could
   * not sync for a lease duration. The holder may have lost the connection to
   * all daemons while it still reaches the table.
   */
  async #challengeIfCutOff(lease: LeaseRow): Promise<void> {
    const { clock, lastSyncAtMs } = this.#state;
    const nowMs = clock.nowMs();
    if (lease.holderId === this.#state.selfId()) return;
    if (nowMs - lastSyncAtMs < this.#state.options.leaseDurationMs) return;
    if (nowMs - this.#challengedAtMs < challengeIntervalMs) return;
    this.#challengedAtMs = nowMs;
    await this.#store.writeChallenge(lease.epoch);
  }

  /**
   * How long the lease row must be unchanged. The delay increases with the
   * rank, so that watchers do not attempt a takeover at the same time.
   */
  #computeTakeoverDelayMs(): number {
    const rank = computeRank(this.#state.follower.view(), this.#state.selfId());
    const staggerMs = Math.min(rank, watcherCount) * watcherStaggerMs;
    return this.#state.options.leaseDurationMs + staggerMs;
  }

  async #claimVacant({ lease, version }: VersionedLease): Promise<void> {
    const members = lease === undefined
      ? { membersVersion: 0, members: [] }
      : await this.#tryReadMembersOf(lease);
    if (members === undefined) return;
    await this.#claim({
      leaseVersion: version,
      lease,
      members,
      epoch: this.#nextEpoch(lease),
      previousEndedAtMs: this.#state.clock.nowMs(),
    });
  }

  async #replace(
    observed: VersionedLease,
    { lease, signal }: {
      readonly lease: LeaseRow;
      readonly signal: AbortSignal;
    },
  ): Promise<void> {
    const members = await this.#tryReadMembersOf(lease);
    if (members === undefined) return;
    const epoch = this.#nextEpoch(lease);
    const confirmationsEndedAtMs = await collectPromises(this.#state, {
      members: members.members,
      epoch,
    });
    if (confirmationsEndedAtMs === undefined) return;
    const rowEndedAtMs = observed.receivedAtMs +
      this.#state.options.leaseDurationMs;
    const previousEndedAtMs = Math.max(rowEndedAtMs, confirmationsEndedAtMs);
    const { clock } = this.#state;
    await clock.sleep(previousEndedAtMs - clock.nowMs(), signal);
    if (signal.aborted) return;
    await this.#claim({
      leaseVersion: observed.version,
      lease,
      members,
      epoch,
      previousEndedAtMs,
    });
  }

  async #claim(claim: Claim): Promise<void> {
    const { clock } = this.#state;
    const members = addMember(claim.members, this.#state.membership.self());
    const sent = { ...claim, members, sentAtMs: clock.nowMs() };
    this.#sentClaim = sent;
    const outcome = await this.#store.commit({
      leaseVersion: claim.leaseVersion,
      lease: {
        epoch: claim.epoch,
        holderId: this.#state.selfId(),
        membersVersion: members.membersVersion,
        renewalCount: 0,
      },
      members: members === claim.members ? undefined : members,
      rows: [],
    });
    this.#observed = undefined;
    if (outcome === CommitOutcome.Committed) this.#becomeCoordinator(sent);
  }

  /** Becomes the coordinator when the row shows that a sent claim succeeded. */
  #tryCompleteClaim({ lease }: VersionedLease): boolean {
    const sent = this.#sentClaim;
    if (sent === undefined || lease === undefined) return false;
    if (lease.epoch !== sent.epoch) return false;
    if (!this.#store.isOwnWrite(lease)) return false;
    this.#becomeCoordinator(sent);
    return true;
  }

  #becomeCoordinator(claim: SentClaim): void {
    this.#sentClaim = undefined;
    const { metrics, clock } = this.#state;
    const previousHolderId = claim.lease?.holderId;
    if (claim.lease !== undefined) {
      metrics.count(CounterName.CoordinatorTakeovers);
    }
    const coordinator = new Coordinator(this.#state, {
      takenAtMs: clock.nowMs(),
      previousEndedAtMs: claim.previousEndedAtMs,
      previousHolderId,
    });
    const view = {
      epoch: claim.epoch,
      holderId: this.#state.selfId(),
      ...claim.members,
    };
    coordinator.authority.confirmRow(view, claim.sentAtMs);
    this.#state.updateView(view);
    this.#state.beginCoordinating(coordinator);
  }

  async #tryReadMembersOf(lease: LeaseRow): Promise<MembersRow | undefined> {
    const members = await this.#store.tryReadMembers();
    const isSame = members?.membersVersion === lease.membersVersion;
    return isSame ? members : undefined;
  }

  #nextEpoch(lease: LeaseRow | undefined): number {
    const promisedEpoch = this.#state.follower.promisedEpoch();
    return Math.max((lease?.epoch ?? 0) + 1, promisedEpoch);
  }
}

function addMember(row: MembersRow, daemon: DaemonInfo): MembersRow {
  const isKnown = row.members.some((d) => d.daemonId === daemon.daemonId);
  if (isKnown) return row;
  return {
    membersVersion: row.membersVersion + 1,
    members: [...row.members, daemon],
  };
}
