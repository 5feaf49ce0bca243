/** Messages between daemons about allowances, independent of their encoding. */
import type { WindowKind } from "../../types/enums.ts";
import type { DaemonId } from "../../types/types.ts";
import type { AccountKey } from "./account.ts";

/** Requests that were charged within one short interval. */
export interface UseSlot {
  readonly ageMs: number;
  readonly count: number;
}

/** An entry's report on one account, with the number of leases it wants. */
export interface AccountReport {
  readonly daemonId: DaemonId;
  readonly key: AccountKey;
  /**
   * When the entry opened the account, by its own monotonic clock. When an
   * entry opens an account again, its totals and sequence restart at zero.
   */
  readonly openedAtMs: number;
  /** Increases with each report; an older report is ignored. */
  readonly sequence: number;
  /** Requests charged since the account was opened, minus refunds. */
  readonly usedTotal: number;
  /** Requests charged within the longest window. */
  readonly recentCount: number;
  /** Unused leased requests that the entry keeps. */
  readonly heldCount: number;
  /** Leased requests that the entry wants to hold, including `heldCount`. */
  readonly wantedCount: number;
  /** Requests charged since the last answered report, newest first. */
  readonly uses: readonly UseSlot[];
}

/** The answer of the home daemon to a report. */
export interface AccountGrant {
  /** Requests leased in addition to those held. */
  readonly grantedCount: number;
  /** Delay before more requests can be leased; 0 when no window limited it. */
  readonly retryAfterMs: number;
  /** The window that limited the grant; undefined when no window did. */
  readonly windowKind: WindowKind | undefined;
}

/** The state of one entry in a ledger. */
export interface MemberCopy {
  readonly daemonId: DaemonId;
  readonly openedAtMs: number;
  readonly sequence: number;
  readonly usedTotal: number;
  /** The member's total of uses before those that this ledger counts. */
  readonly baseTotal: number;
  readonly reservedCount: number;
  /** Requests of expired leases that were charged without a report of use. */
  readonly presumedUsedCount: number;
}

/** The bucket counts of one window, newest first. */
export interface WindowCopy {
  readonly kind: WindowKind;
  readonly windowMs: number;
  readonly counts: readonly number[];
}

/** A complete ledger, or only its changed members. */
export interface LedgerCopy {
  readonly key: AccountKey;
  readonly members: readonly MemberCopy[];
  /** Undefined when only members are copied. */
  readonly windows: readonly WindowCopy[] | undefined;
}
