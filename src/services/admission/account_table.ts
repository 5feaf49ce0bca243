/** The accounts that callers of this daemon use. */
import { type AccountLimits, formatAccountName } from "./account.ts";
import { EntryAccount } from "./entry_account.ts";

/** Creates accounts on demand and drops idle accounts. */
export class AccountTable {
  readonly #accounts = new Map<string, EntryAccount>();

  open(limits: AccountLimits, nowMs: number): EntryAccount {
    const name = formatAccountName(limits.key);
    const existing = this.#accounts.get(name);
    if (existing !== undefined) return existing;
    const account = new EntryAccount(limits, nowMs);
    this.#accounts.set(name, account);
    return account;
  }

  tryGet(limits: AccountLimits): EntryAccount | undefined {
    return this.#accounts.get(formatAccountName(limits.key));
  }

  list(): readonly EntryAccount[] {
    return [...this.#accounts.values()];
  }

  /** Drops accounts that have no use in any window and nothing to report. */
  dropIdle(nowMs: number): void {
    for (const [name, account] of this.#accounts) {
      if (account.isIdle(nowMs)) this.#accounts.delete(name);
    }
  }
}
