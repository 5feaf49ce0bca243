/** The accounts of one entry, by name. */
import { type AccountLimits, formatAccountName } from "./account.ts";
import { EntryAccount } from "./entry_account.ts";

/** Opens accounts on demand and drops idle ones. */
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

  /** Drops accounts without use in any window. */
  dropIdle(nowMs: number): void {
    for (const [name, account] of this.#accounts) {
      if (account.isIdle(nowMs)) this.#accounts.delete(name);
    }
  }
}
