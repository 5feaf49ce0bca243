/** What daemons tell each other about allowances, apart from its encoding. */
import type { WindowKind } from "../../types/enums.ts";
import type { DaemonId } from "../../types/types.ts";
import type { AccountKey } from "./account.ts";

/** Requests charged at about the same time. */
export interface UseSlot {
  readonly ageMs: number;
  readonly count: number;
}

/** An entry's report on one account, and its wish. */
export interface AccountReport {
  readonly daemonId: DaemonId;
  readonly key: AccountKey;
  /**
   * When the entry opened the account, by its own monotonic clock. Totals and
   * sequence of an account that was opened anew begin at zero.
   */
  readonly openedAtMs: number;
  /** Rises with each report; an older one is ignored. */
  readonly sequence: number;
  /** Requests charged since the account was opened, less refunds. */
  readonly usedTotal: number;
  /** Requests charged within the longest window. */
  readonly recentCount: number;
  /** Leased requests that are still unused and kept. */
  readonly heldCount: number;
  /** Leased requests that the entry would like to hold. */
  readonly wantedCount: number;
  /** When requests since the last answered report were charged, newest first. */
  readonly uses: readonly UseSlot[];
}

/** The home's answer to a report. */
export interface AccountGrant {
  /** Leased in addition to what is held. */
  readonly grantedCount: number;
  /** Delay after which more can be had; 0 when the wish was met. */
  readonly retryAfterMs: number;
  /** The window that kept the wish from being met. */
  readonly windowKind: WindowKind | undefined;
}

/** One entry as a ledger knows it. */
export interface MemberCopy {
  readonly daemonId: DaemonId;
  readonly openedAtMs: number;
  readonly sequence: number;
  readonly usedTotal: number;
  /** The used total before the ledger first heard of the member. */
  readonly baseTotal: number;
  readonly reservedCount: number;
  /** Lapsed leases that were charged although nobody reported their use. */
  readonly presumedUsedCount: number;
}

/** The counts of one window, newest bucket first. */
export interface WindowCopy {
  readonly kind: WindowKind;
  readonly windowMs: number;
  readonly counts: readonly number[];
}

/** A ledger, or the members of it that changed. */
export interface LedgerCopy {
  readonly key: AccountKey;
  readonly members: readonly MemberCopy[];
  /** Undefined when only members are copied. */
  readonly windows: readonly WindowCopy[] | undefined;
}
