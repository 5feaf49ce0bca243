/**
 * The fleet-wide use of one account, kept by the customer's home daemon. Leased
 * requests stay reserved until their holder reports them as used, so the sum of
 * used and reserved requests never exceeds the allowance. Reports carry running
 * totals, so a lost or repeated report does not change the count.
 */
import type { AllowanceWindow, DaemonId } from "../../types/types.ts";
import type { AccountKey } from "./account.ts";
import type {
  AccountGrant,
  AccountReport,
  LedgerCopy,
  MemberCopy,
} from "./allowance_messages.ts";
import { countNewUses, isNewer } from "./member_state.ts";
import { Pacer } from "./pacer.ts";
import { SlidingWindow } from "./sliding_window.ts";
import { WindowSet } from "./window_set.ts";

/** The ledger's record of one entry. */
interface Member {
  readonly openedAtMs: number;
  readonly baseTotal: number;
  sequence: number;
  usedTotal: number;
  reservedCount: number;
  reservationEndsAtMs: number;
  /** Requests of expired leases that were charged without a report of use. */
  presumedUsedCount: number;
}

/** The time, the limits and the lease duration that a decision is based on. */
export interface LedgerContext {
  readonly nowMs: number;
  readonly limits: readonly AllowanceWindow[];
  readonly leaseDurationMs: number;
}

/** Counts the use of one account by the whole fleet and grants leases. */
export class AllowanceLedger {
  readonly key: AccountKey;
  readonly #windows = new WindowSet();
  readonly #members = new Map<DaemonId, Member>();
  readonly #pacer = new Pacer();
  readonly #changedMembers = new Set<DaemonId>();
  /** The daemon that has a complete copy of this ledger. */
  copyHolderId: DaemonId | undefined;
  /** False when another daemon may have granted leases in the meantime. */
  isVerified = true;
  lastActiveAtMs: number;

  constructor(key: AccountKey, nowMs: number) {
    this.key = key;
    this.lastActiveAtMs = nowMs;
  }

  /** Records the reported use and leases wanted requests as far as possible. */
  exchange(report: AccountReport, context: LedgerContext): AccountGrant {
    const { nowMs, limits, leaseDurationMs } = context;
    this.lastActiveAtMs = nowMs;
    this.#windows.configure(limits, nowMs);
    this.#expireLeases(nowMs);
    const member = this.#getOrCreateMember(report);
    const isStale = report.openedAtMs < member.openedAtMs ||
      report.sequence <= member.sequence;
    if (isStale) {
      return { grantedCount: 0, retryAfterMs: 0, windowKind: undefined };
    }
    const usedCount = report.usedTotal - member.usedTotal;
    const returnedCount = member.reservedCount - usedCount - report.heldCount;
    this.#pacer.returnTokens(Math.max(0, returnedCount));
    this.#recordUse(member, report, nowMs);
    member.sequence = report.sequence;
    member.reservedCount = report.heldCount;
    member.reservationEndsAtMs = nowMs + leaseDurationMs;
    this.#changedMembers.add(report.daemonId);
    const requestedCount = Math.max(0, report.wantedCount - report.heldCount);
    const grant = this.#createGrant(requestedCount, context);
    member.reservedCount += grant.grantedCount;
    return grant;
  }

  /** Leases as many requests as every window and the pacer allow. */
  #createGrant(
    requestedCount: number,
    { limits, nowMs }: LedgerContext,
  ): AccountGrant {
    const reservedCount = this.#reservedCount();
    const tightest = this.#windows.findTightest(limits, {
      nowMs,
      reservedCount,
    });
    const longestWindow = findLongestWindow(limits);
    const chargedCount = reservedCount +
      this.#windows.sum(longestWindow.kind, nowMs);
    const pacedCount = this.#pacer.updateLimit({
      window: longestWindow,
      chargedCount,
      nowMs,
    });
    const freeCount = Math.max(0, tightest.freeCount);
    const grantedCount = Math.min(requestedCount, freeCount, pacedCount);
    this.#pacer.takeTokens(grantedCount);
    if (grantedCount === requestedCount) {
      return { grantedCount, retryAfterMs: 0, windowKind: undefined };
    }
    if (pacedCount < freeCount) {
      const retryAfterMs = this.#pacer.retryAfterMs(longestWindow);
      return { grantedCount, retryAfterMs, windowKind: longestWindow.kind };
    }
    const { kind, retryAfterMs } = tightest;
    return { grantedCount, retryAfterMs, windowKind: kind };
  }

  /**
   * Adds the use that only the copy contains. The windows of the side that
   * knows of more uses are kept, since their counts have the right age; the
   * uses that only the other side knows of count from now on.
   */
  merge(copy: LedgerCopy, context: LedgerContext): void {
    const { nowMs, leaseDurationMs } = context;
    this.lastActiveAtMs = nowMs;
    this.#windows.configure(context.limits, nowMs);
    const newInCopyCount = sumMembers(
      copy.members,
      (copied) => countNewUses(copied, this.#members.get(copied.daemonId)),
    );
    const missingInCopyCount = sumMembers(copy.members, (copied) => {
      const known = this.#members.get(copied.daemonId);
      return known === undefined ? 0 : countNewUses(known, copied);
    });
    const usesCopiedWindows = copy.windows !== undefined &&
      newInCopyCount >= missingInCopyCount;
    if (usesCopiedWindows) {
      this.#replaceWindows(copy, context);
      this.#windows.add(nowMs, missingInCopyCount);
    } else this.#windows.add(nowMs, newInCopyCount);
    for (const member of copy.members) {
      const known = this.#members.get(member.daemonId);
      const isKept = known !== undefined &&
        (usesCopiedWindows ? isNewer(known, member) : !isNewer(member, known));
      if (isKept) continue;
      const reservationEndsAtMs = nowMs + leaseDurationMs;
      this.#members.set(member.daemonId, { ...member, reservationEndsAtMs });
    }
  }

  /** Returns a complete copy of the ledger. */
  toCopy(nowMs: number): LedgerCopy {
    const windows = [...this.#windows.entries()].map(([kind, window]) => ({
      kind,
      windowMs: window.windowMs,
      counts: window.toCounts(nowMs),
    }));
    const members = [...this.#members.keys()].map((id) =>
      this.#createMemberCopy(id)
    );
    return { key: this.key, members, windows };
  }

  /**
   * Returns the members that changed since the previous call; undefined when
   * none changed.
   */
  takeChanges(): LedgerCopy | undefined {
    if (this.#changedMembers.size === 0) return undefined;
    const members = [...this.#changedMembers].map((id) =>
      this.#createMemberCopy(id)
    );
    this.#changedMembers.clear();
    return { key: this.key, members, windows: undefined };
  }

  #createMemberCopy(daemonId: DaemonId): MemberCopy {
    const member = this.#members.get(daemonId)!;
    return {
      daemonId,
      openedAtMs: member.openedAtMs,
      sequence: member.sequence,
      usedTotal: member.usedTotal,
      baseTotal: member.baseTotal,
      reservedCount: member.reservedCount,
      presumedUsedCount: member.presumedUsedCount,
    };
  }

  /**
   * Returns the entry's member. The use that a new member had before its first
   * report to this ledger counts from now on.
   */
  #getOrCreateMember(report: AccountReport): Member {
    const known = this.#members.get(report.daemonId);
    if (known !== undefined && known.openedAtMs >= report.openedAtMs) {
      return known;
    }
    const baseTotal = report.usedTotal - report.recentCount;
    const member: Member = {
      openedAtMs: report.openedAtMs,
      baseTotal,
      sequence: -1,
      usedTotal: baseTotal,
      reservedCount: 0,
      reservationEndsAtMs: 0,
      presumedUsedCount: 0,
    };
    this.#members.set(report.daemonId, member);
    return member;
  }

  #recordUse(member: Member, report: AccountReport, nowMs: number): void {
    let newCount = report.usedTotal - member.usedTotal;
    member.usedTotal = report.usedTotal;
    const presumedCount = Math.min(
      member.presumedUsedCount,
      Math.max(0, newCount),
    );
    member.presumedUsedCount = 0;
    newCount -= presumedCount;
    for (const { ageMs, count } of report.uses) {
      const slotUseCount = Math.min(count, Math.max(0, newCount));
      this.#windows.add(nowMs, slotUseCount, ageMs);
      newCount -= slotUseCount;
    }
    this.#windows.add(nowMs, newCount);
  }

  /** Charges leases as used when their holder has stopped reporting. */
  #expireLeases(nowMs: number): void {
    for (const member of this.#members.values()) {
      if (member.reservedCount === 0) continue;
      if (nowMs < member.reservationEndsAtMs) continue;
      this.#windows.add(nowMs, member.reservedCount);
      member.presumedUsedCount += member.reservedCount;
      member.reservedCount = 0;
    }
  }

  #reservedCount(): number {
    let sum = 0;
    for (const { reservedCount } of this.#members.values()) {
      sum += reservedCount;
    }
    return sum;
  }

  #replaceWindows(copy: LedgerCopy, { limits, nowMs }: LedgerContext): void {
    for (const { kind, windowMs } of limits) {
      const copied = copy.windows?.find((window) => window.kind === kind);
      if (copied === undefined) continue;
      this.#windows.replace(
        kind,
        SlidingWindow.fromCounts(windowMs, copied.counts, {
          countedWindowMs: copied.windowMs,
          nowMs,
        }),
      );
    }
  }
}

function findLongestWindow(
  limits: readonly AllowanceWindow[],
): AllowanceWindow {
  return limits.reduce((longest, window) =>
    window.windowMs > longest.windowMs ? window : longest
  );
}

function sumMembers(
  members: readonly MemberCopy[],
  countOf: (member: MemberCopy) => number,
): number {
  return members.reduce((sum, member) => sum + countOf(member), 0);
}
