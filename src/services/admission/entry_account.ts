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
  createRefusal,
  type LimitRefusal,
} from "./limit_refusal.ts";
import { WindowSet } from "./window_set.ts";

const slotDurationMs = 10;
const rateTimeConstantMs = 200;

interface PendingSlot {
  readonly startedAtMs: number;
  count: number;
}

/** Facts that go into a report. */
export interface ReportTerms {
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
  #pendingCount = 0;
  #demandCount = 0;
  #ratePerMs = 0;
  #lastReportAtMs: number;
  #unreported: PendingSlot[] = [];
  #inReport: PendingSlot[] = [];
  #refusal: CachedRefusal | undefined;
  #answered: Promise<void>;
  #resolveAnswered: () => void = () => {};

  constructor(limits: AccountLimits, nowMs: number) {
    this.key = limits.key;
    this.limits = limits;
    this.#openedAtMs = Math.floor(nowMs);
    this.#lastReportAtMs = nowMs;
    this.#answered = this.#createAnswered();
  }

  /** Counts a request towards the demand. */
  noteDemand(limits: AccountLimits, nowMs: number): void {
    this.limits = limits;
    this.#windows.configure(limits.windows ?? [], nowMs);
    this.#demandCount += 1;
  }

  /** Uses one leased request, if there is one. */
  tryTake(nowMs: number): boolean {
    if (this.#heldCount <= 0 || nowMs >= this.#heldUntilMs) return false;
    this.#heldCount -= 1;
    this.#recordUse(nowMs);
    return true;
  }

  /** The home's last refusal, while it stands. */
  tryGetRefusal(nowMs: number): LimitRefusal | undefined {
    if (this.#refusal === undefined || nowMs >= this.#refusal.endsAtMs) {
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
  chargeShare(nowMs: number, daemonCount: number): LimitRefusal | undefined {
    const shares = (this.limits.windows ?? []).map((window) => ({
      ...window,
      count: computeShare(window, daemonCount),
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
    const newest = this.#unreported.at(-1);
    if (newest !== undefined && newest.count > 0) newest.count -= 1;
    if (nowMs < this.#heldUntilMs) this.#heldCount += 1;
  }

  /** Waits for the answer to a report that includes this wait. */
  async waitForAnswer(): Promise<void> {
    this.#pendingCount += 1;
    await this.#answered;
    this.#pendingCount -= 1;
  }

  /** Whether a report is due; one is outstanding at a time. */
  needsReport(): boolean {
    return !this.#isReporting && this.#hasNews();
  }

  #hasNews(): boolean {
    return this.#pendingCount > 0 || this.#demandCount > 0 ||
      this.#heldCount > 0 || this.#unreported.length > 0;
  }

  /** Whether the account can be forgotten. */
  isIdle(nowMs: number): boolean {
    return !this.#isReporting && !this.#hasNews() &&
      this.#windows.largestSum(nowMs) === 0;
  }

  /** Builds the next report; leases beyond the wish go back at once. */
  createReport(terms: ReportTerms): AccountReport {
    const { nowMs, daemonId, prefetchDurationMs } = terms;
    this.#isReporting = true;
    this.#updateRate(nowMs);
    const prefetchCount = Math.floor(this.#ratePerMs * prefetchDurationMs);
    const wantedCount = this.#pendingCount + prefetchCount;
    const isLapsed = nowMs >= this.#heldUntilMs;
    this.#heldCount = isLapsed ? 0 : Math.min(this.#heldCount, wantedCount);
    this.#inReport.push(...this.#unreported.splice(0));
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
      uses: this.#inReport
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
    this.#inReport = [];
    this.#heldCount += grant.grantedCount;
    this.#heldUntilMs = times.sentAtMs + times.leaseDurationMs;
    this.#refusal = createRefusal(grant, times.nowMs);
    this.releaseWaiters();
  }

  /** Ends a report without an answer; waiting requests look again. */
  releaseWaiters(): void {
    this.#isReporting = false;
    const resolve = this.#resolveAnswered;
    this.#answered = this.#createAnswered();
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

  #createAnswered(): Promise<void> {
    return new Promise((resolve) => this.#resolveAnswered = resolve);
  }

  #recordUse(nowMs: number): void {
    this.#usedTotal += 1;
    this.#windows.add(nowMs, 1);
    const newest = this.#unreported.at(-1);
    if (newest !== undefined && nowMs < newest.startedAtMs + slotDurationMs) {
      newest.count += 1;
    } else this.#unreported.push({ startedAtMs: nowMs, count: 1 });
  }

  /** Follows the demand with an exponentially weighted average. */
  #updateRate(nowMs: number): void {
    const elapsedMs = nowMs - this.#lastReportAtMs;
    if (elapsedMs <= 0) return;
    const weight = 1 - Math.exp(-elapsedMs / rateTimeConstantMs);
    const observed = this.#demandCount / elapsedMs;
    this.#ratePerMs += (observed - this.#ratePerMs) * weight;
    this.#demandCount = 0;
    this.#lastReportAtMs = nowMs;
  }
}

/** One daemon's part of a window when all daemons get the same. */
export function computeShare(
  window: AllowanceWindow,
  daemonCount: number,
): number {
  return Math.floor(window.count / Math.max(1, daemonCount));
}
