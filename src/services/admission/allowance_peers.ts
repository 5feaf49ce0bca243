/** The calls that daemons make to each other about allowances. */
import type { Result } from "neverthrow";
import type { RouterError } from "../../types/errors.ts";
import type { DaemonInfo } from "../../types/types.ts";
import type { AccountKey } from "./account.ts";
import type {
  AccountGrant,
  AccountReport,
  LedgerCopy,
} from "./allowance_messages.ts";

/** Calls other daemons; each call returns within a bounded time. */
export abstract class AllowancePeers {
  /** Sends reports; a grant is undefined when the peer can't decide. */
  abstract exchange(
    peer: DaemonInfo,
    reports: readonly AccountReport[],
    options: { readonly isRelayed: boolean },
  ): Promise<Result<readonly (AccountGrant | undefined)[], RouterError>>;

  /** Sends copies of ledgers. */
  abstract replicate(
    peer: DaemonInfo,
    copies: readonly LedgerCopy[],
  ): Promise<Result<void, RouterError>>;

  /** Fetches a complete ledger; undefined when the peer has none. */
  abstract fetchLedger(
    peer: DaemonInfo,
    key: AccountKey,
  ): Promise<Result<LedgerCopy | undefined, RouterError>>;
}
