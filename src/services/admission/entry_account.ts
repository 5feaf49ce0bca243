/**
 * The state of one account at one entry: the unused requests leased from the
 * home, the uses that have not been reported yet, and the callers' demand.
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

/** Uses within this time are reported as one `UseSlot`. */
const slotDurationMs = 10;
/** Time constant of the moving average of the demand. */
const rateTimeConstantMs = 200;

interface UnreportedSlot {
  readonly startedAtMs: number;
  count: number;
}

/** Input of a report. */
export interface ReportContext {
  readonly daemonId: DaemonId;
  readonly nowMs: number;
  /** How long the requests leased ahead should last at the current demand. */
  readonly prefetchDurationMs: number;
}

/** Counts the use of one account through this daemon and builds its reports. */
export class EntryAccount {
  readonly key: AccountKey;
  readonly #openedAtMs: number;
  readonly #windows = new WindowSet();
  limits: AccountLimits;
  /** The home daemon that receives the reports of this account. */
  homeDaemonId: DaemonId | undefined;
  #isReporting = false;
  #heldCount = 0;
  #holdEndsAtMs = 0;
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

  /** Charges one request to the lease; returns false when none is left. */
  tryUseLease(nowMs: number): boolean {
    if (this.#heldCount <= 0 || nowMs >= this.#holdEndsAtMs) return false;
    this.#heldCount -= 1;
    this.#recordUse(nowMs);
    return true;
  }

  /** Returns the home's last refusal until it expires. */
  tryGetRefusal(nowMs: number): LimitRefusal | undefined {
    if (this.#refusal === undefined || nowMs >= this.#refusal.expiresAtMs) {
      return undefined;
    }
    const { windowKind, retryAfterMs, decidedAtMs } = this.#refusal;
    const elapsedMs = nowMs - decidedAtMs;
    return { windowKind, retryAfterMs: Math.max(1, retryAfterMs - elapsedMs) };
  }

  /**
   * Charges one request to this daemon's equal share of each window, without
   * a lease. Returns undefined when the request is within every share.
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

  /** Reverses one charge; the request returns to the lease if it is valid. */
  refund(nowMs: number): void {
    this.#usedTotal -= 1;
    this.#windows.add(nowMs, -1);
    const newest = this.#unreportedSlots.at(-1);
    if (newest !== undefined && newest.count > 0) newest.count -= 1;
    if (nowMs < this.#holdEndsAtMs) this.#heldCount += 1;
  }

  /** Counts a request as waiting until a report ends. */
  async waitForAnswer(): Promise<void> {
    this.#waitingCount += 1;
    await this.#nextAnswer;
    this.#waitingCount -= 1;
  }

  /** Whether a report must be sent; at most one is outstanding. */
  needsReport(): boolean {
    return !this.#isReporting && this.#hasReportableState();
  }

  #hasReportableState(): boolean {
    return this.#waitingCount > 0 || this.#demandCount > 0 ||
      this.#heldCount > 0 || this.#unreportedSlots.length > 0;
  }

  /** Whether the account can be dropped without a loss of counts. */
  isIdle(nowMs: number): boolean {
    return !this.#isReporting && !this.#hasReportableState() &&
      this.#windows.largestSum(nowMs) === 0;
  }

  /** Builds the next report; returns leased requests that are not wanted. */
  createReport(context: ReportContext): AccountReport {
    const { nowMs, daemonId, prefetchDurationMs } = context;
    this.#isReporting = true;
    this.#updateRate(nowMs);
    const prefetchCount = Math.floor(this.#ratePerMs * prefetchDurationMs);
    const wantedCount = this.#waitingCount + prefetchCount;
    const isExpired = nowMs >= this.#holdEndsAtMs;
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

  /**
   * Applies the home's answer. The lease starts at the instant the report was
   * sent, so that it never ends later than the home assumes.
   */
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
    this.#holdEndsAtMs = times.sentAtMs + times.leaseDurationMs;
    this.#refusal = tryCreateCachedRefusal(grant, times.nowMs);
    this.endReport();
  }

  /** Ends the report, also without an answer; waiting requests check again. */
  endReport(): void {
    this.#isReporting = false;
    const resolve = this.#resolveNextAnswer;
    this.#nextAnswer = this.#createNextAnswer();
    resolve();
  }

  /** Number of requests charged to one window through this daemon. */
  usedCount(kind: WindowKind, nowMs: number): number {
    return this.#windows.sum(kind, nowMs);
  }

  /** Number of leased requests that are unused. */
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

  /** Updates the exponentially weighted moving average of the demand. */
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

/** Returns one daemon's part of a window that is divided equally. */
export function computeEqualShare(
  window: AllowanceWindow,
  daemonCount: number,
): number {
  return Math.floor(window.count / Math.max(1, daemonCount));
}
