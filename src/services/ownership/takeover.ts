/**
 * How a daemon obtains the lease of another. It must see the lease row
 * unchanged for a whole lease duration by its own clock, and hold promises of
 * half or more of the epoch's members, each of whose last confirmation has
 * run out. Then the previous coordinator has lost both grounds of its
 * authority, and a compare-and-set decides between candidates.
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
  type ReadLease,
} from "./lease_store.ts";
import { gatherPromises } from "./promise_round.ts";
import { rankOf } from "./sync_tree.ts";
import { learnLease } from "./view_reader.ts";

/** A lease row to replace, and when its holder's authority had ended. */
interface Claim {
  readonly leaseVersion: number;
  readonly lease: LeaseRow | undefined;
  readonly members: MembersRow;
  readonly epoch: number;
  readonly previousEndedAtMs: number;
}

/** A claim whose answer may have been lost. */
interface SentClaim extends Claim {
  readonly sentAtMs: number;
}

/** Watches the lease row and takes the lease over when it may. */
export class Takeover {
  readonly #state: ControlState;
  readonly #store: LeaseStore;
  #observed: ReadLease | undefined;
  #sentClaim: SentClaim | undefined;
  #challengedAtMs = Number.NEGATIVE_INFINITY;

  constructor(state: ControlState, store: LeaseStore) {
    this.#state = state;
    this.#store = store;
  }

  /** Looks at the lease row once, and acts on it. */
  async watchOnce(signal: AbortSignal): Promise<void> {
    if (!this.#mustWatch()) {
      this.#observed = undefined;
      return;
    }
    const read = await this.#store.tryReadLease();
    if (read === undefined) {
      this.#observed = undefined;
      return;
    }
    if (this.#tryAdopt(read)) return;
    await learnLease(this.#state, { store: this.#store, read });
    if (this.#state.membership.self().isDraining) return;
    if (this.#state.clock.nowMs() < this.#state.yieldUntilMs) return;
    const { lease } = read;
    if (lease === undefined || lease.holderId === vacantHolderId) {
      return await this.#claimVacant(read);
    }
    if (this.#observed?.version !== read.version) {
      this.#observed = read;
      return await this.#challengeIfCutOff(lease);
    }
    const unchangedMs = read.receivedAtMs - this.#observed.receivedAtMs;
    if (unchangedMs < this.#patienceMs()) return;
    await this.#replace(this.#observed, { lease, signal });
  }

  /** Few daemons read the row: the first by rank, and whoever is cut off. */
  #mustWatch(): boolean {
    const { record, clock, lastSyncAtMs, options } = this.#state;
    if (record.tryGetCandidate() !== undefined) return true;
    if (clock.nowMs() - lastSyncAtMs > options.leaseDurationMs) return true;
    return rankOf(record.view(), this.#state.selfId()) < watcherCount;
  }

  /**
   * The holder renews its lease, but cannot be reached: it may be cut off
   * from all daemons while it still reaches the table.
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

  /** Watchers of a lower rank act first. */
  #patienceMs(): number {
    const rank = rankOf(this.#state.record.view(), this.#state.selfId());
    const stagger = Math.min(rank, watcherCount) * watcherStaggerMs;
    return this.#state.options.leaseDurationMs + stagger;
  }

  async #claimVacant({ lease, version }: ReadLease): Promise<void> {
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
    observed: ReadLease,
    { lease, signal }: {
      readonly lease: LeaseRow;
      readonly signal: AbortSignal;
    },
  ): Promise<void> {
    const members = await this.#tryReadMembersOf(lease);
    if (members === undefined) return;
    const epoch = this.#nextEpoch(lease);
    const followersEndedAtMs = await gatherPromises(this.#state, {
      members: members.members,
      epoch,
    });
    if (followersEndedAtMs === undefined) return;
    const rowEndedAtMs = observed.receivedAtMs +
      this.#state.options.leaseDurationMs;
    const previousEndedAtMs = Math.max(rowEndedAtMs, followersEndedAtMs);
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
    if (outcome === CommitOutcome.Committed) this.#begin(sent);
  }

  /** Begins on a claim whose lost answer this read resolves. */
  #tryAdopt({ lease }: ReadLease): boolean {
    const sent = this.#sentClaim;
    if (sent === undefined || lease === undefined) return false;
    if (lease.epoch !== sent.epoch) return false;
    if (!this.#store.isOwnWrite(lease)) return false;
    this.#begin(sent);
    return true;
  }

  #begin(claim: SentClaim): void {
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
    this.#state.learnView(view);
    this.#state.beginCoordinating(coordinator);
  }

  async #tryReadMembersOf(lease: LeaseRow): Promise<MembersRow | undefined> {
    const members = await this.#store.tryReadMembers();
    const isSame = members?.membersVersion === lease.membersVersion;
    return isSame ? members : undefined;
  }

  #nextEpoch(lease: LeaseRow | undefined): number {
    const promisedEpoch = this.#state.record.promisedEpoch();
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
