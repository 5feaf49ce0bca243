/**
 * One account as a single entry sees it: what it has leased from the home and
 * not used, what it has used and not reported, and how much is asked for.
 */
import type { WindowKind } from "../../types/enums.ts";
import type { AllowanceWindow, DaemonId } from "../../types/types.ts";
import type { AccountKey, AccountLimits } from "./account.ts";
import type {
  AccountGrant,
  AccountReport,
  UseSlot,
} from "./allowance_messages.ts";
import {
  type CachedRefusal,
  type LimitRefusal,
  tryCreateCachedRefusal,
} from "./limit_refusal.ts";
import { WindowSet } from "./window_set.ts";

const slotDurationMs = 10;
const rateTimeConstantMs = 200;

interface UnreportedSlot {
  readonly startedAtMs: number;
  count: number;
}

/** Facts that go into a report. */
export interface ReportContext {
  readonly daemonId: DaemonId;
  readonly nowMs: number;
  /** For how long the leased requests should last. */
  readonly prefetchDurationMs: number;
}

/** Use of one account through this daemon. */
export class EntryAccount {
  readonly key: AccountKey;
  readonly #openedAtMs: number;
  readonly #windows = new WindowSet();
  limits: AccountLimits;
  /** The home that this account reports to. */
  homeDaemonId: DaemonId | undefined;
  #isReporting = false;
  #heldCount = 0;
  #heldUntilMs = 0;
  #usedTotal = 0;
  #sequence = 0;
  #waitingCount = 0;
  #demandCount = 0;
  #ratePerMs = 0;
  #lastReportAtMs: number;
  #unreportedSlots: UnreportedSlot[] = [];
  #slotsInReport: UnreportedSlot[] = [];
  #refusal: CachedRefusal | undefined;
  #nextAnswer: Promise<void>;
  #resolveNextAnswer: () => void = () => {};

  constructor(limits: AccountLimits, nowMs: number) {
    this.key = limits.key;
    this.limits = limits;
    this.#openedAtMs = Math.floor(nowMs);
    this.#lastReportAtMs = nowMs;
    this.#nextAnswer = this.#createNextAnswer();
  }

  /** Counts a request towards the demand. */
  noteDemand(limits: AccountLimits, nowMs: number): void {
    this.limits = limits;
    this.#windows.configure(limits.windows ?? [], nowMs);
    this.#demandCount += 1;
  }

  /** Uses one leased request, if there is one. */
  tryUseLease(nowMs: number): boolean {
    if (this.#heldCount <= 0 || nowMs >= this.#heldUntilMs) return false;
    this.#heldCount -= 1;
    this.#recordUse(nowMs);
    return true;
  }

  /** The home's last refusal, while it stands. */
  tryGetRefusal(nowMs: number): LimitRefusal | undefined {
    if (this.#refusal === undefined || nowMs >= this.#refusal.expiresAtMs) {
      return undefined;
    }
    const { windowKind, retryAfterMs, decidedAtMs } = this.#refusal;
    const elapsedMs = nowMs - decidedAtMs;
    return { windowKind, retryAfterMs: Math.max(1, retryAfterMs - elapsedMs) };
  }

  /**
   * Charges against an equal share, while no home can be reached; undefined
   * when the request fits.
   */
  chargeEqualShare(
    nowMs: number,
    daemonCount: number,
  ): LimitRefusal | undefined {
    const shares = (this.limits.windows ?? []).map((window) => ({
      ...window,
      count: computeEqualShare(window, daemonCount),
    }));
    const tightest = this.#windows.findTightest(shares, {
      nowMs,
      reservedCount: 0,
    });
    if (tightest.freeCount <= 0) {
      const { kind, retryAfterMs } = tightest;
      return { windowKind: kind, retryAfterMs: Math.max(1, retryAfterMs) };
    }
    this.#recordUse(nowMs);
    return undefined;
  }

  /** Gives one use back. */
  refund(nowMs: number): void {
    this.#usedTotal -= 1;
    this.#windows.add(nowMs, -1);
    const newest = this.#unreportedSlots.at(-1);
    if (newest !== undefined && newest.count > 0) newest.count -= 1;
    if (nowMs < this.#heldUntilMs) this.#heldCount += 1;
  }

  /** Waits for the answer to a report that includes this wait. */
  async waitForAnswer(): Promise<void> {
    this.#waitingCount += 1;
    await this.#nextAnswer;
    this.#waitingCount -= 1;
  }

  /** Whether a report is due; one is outstanding at a time. */
  needsReport(): boolean {
    return !this.#isReporting && this.#hasReportableState();
  }

  #hasReportableState(): boolean {
    return this.#waitingCount > 0 || this.#demandCount > 0 ||
      this.#heldCount > 0 || this.#unreportedSlots.length > 0;
  }

  /** Whether the account can be forgotten. */
  isIdle(nowMs: number): boolean {
    return !this.#isReporting && !this.#hasReportableState() &&
      this.#windows.largestSum(nowMs) === 0;
  }

  /** Builds the next report; leases beyond the wish go back at once. */
  createReport(context: ReportContext): AccountReport {
    const { nowMs, daemonId, prefetchDurationMs } = context;
    this.#isReporting = true;
    this.#updateRate(nowMs);
    const prefetchCount = Math.floor(this.#ratePerMs * prefetchDurationMs);
    const wantedCount = this.#waitingCount + prefetchCount;
    const isExpired = nowMs >= this.#heldUntilMs;
    this.#heldCount = isExpired ? 0 : Math.min(this.#heldCount, wantedCount);
    this.#slotsInReport.push(...this.#unreportedSlots.splice(0));
    this.#sequence += 1;
    return {
      daemonId,
      key: this.key,
      openedAtMs: this.#openedAtMs,
      sequence: this.#sequence,
      usedTotal: this.#usedTotal,
      recentCount: Math.max(0, this.#windows.largestSum(nowMs)),
      heldCount: this.#heldCount,
      wantedCount,
      uses: this.#slotsInReport
        .filter(({ count }) => count > 0)
        .reverse()
        .map((slot): UseSlot => ({
          ageMs: Math.max(0, nowMs - slot.startedAtMs - slotDurationMs),
          count: slot.count,
        })),
    };
  }

  /** Takes the home's answer; the lease counts from before the report. */
  acceptGrant(
    grant: AccountGrant,
    times: {
      readonly sentAtMs: number;
      readonly nowMs: number;
      readonly leaseDurationMs: number;
    },
  ): void {
    this.#slotsInReport = [];
    this.#heldCount += grant.grantedCount;
    this.#heldUntilMs = times.sentAtMs + times.leaseDurationMs;
    this.#refusal = tryCreateCachedRefusal(grant, times.nowMs);
    this.endReport();
  }

  /** Ends a report without an answer; waiting requests look again. */
  endReport(): void {
    this.#isReporting = false;
    const resolve = this.#resolveNextAnswer;
    this.#nextAnswer = this.#createNextAnswer();
    resolve();
  }

  /** Requests charged to one window through this daemon. */
  usedCount(kind: WindowKind, nowMs: number): number {
    return this.#windows.sum(kind, nowMs);
  }

  /** Leased requests not yet used. */
  heldCount(): number {
    return this.#heldCount;
  }

  #createNextAnswer(): Promise<void> {
    return new Promise((resolve) => this.#resolveNextAnswer = resolve);
  }

  #recordUse(nowMs: number): void {
    this.#usedTotal += 1;
    this.#windows.add(nowMs, 1);
    const newest = this.#unreportedSlots.at(-1);
    if (newest !== undefined && nowMs < newest.startedAtMs + slotDurationMs) {
      newest.count += 1;
    } else this.#unreportedSlots.push({ startedAtMs: nowMs, count: 1 });
  }

  /** Follows the demand with an exponentially weighted average. */
  #updateRate(nowMs: number): void {
    const elapsedMs = nowMs - this.#lastReportAtMs;
    if (elapsedMs <= 0) return;
    const weight = 1 - Math.exp(-elapsedMs / rateTimeConstantMs);
    const observedPerMs = this.#demandCount / elapsedMs;
    this.#ratePerMs += (observedPerMs - this.#ratePerMs) * weight;
    this.#demandCount = 0;
    this.#lastReportAtMs = nowMs;
  }
}

/** One daemon's part of a window when all daemons get the same. */
export function computeEqualShare(
  window: AllowanceWindow,
  daemonCount: number,
): number {
  return Math.floor(window.count / Math.max(1, daemonCount));
}
