/**
 * How daemons share one fleet-wide allowance. The ways differ in what they
 * cost and how closely they keep to it; `docs/LISTS.md` compares them.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import type { AccountLimits } from "./account.ts";
import type { EntryAccount } from "./entry_account.ts";
import type { LimitRefusal } from "./limit_refusal.ts";

/** Charges requests against fleet-wide allowances. */
export abstract class AllowanceSharing {
  /** Starts the tasks that the sharing needs. */
  start(_services: ServiceLookup): Promise<void> {
    return Promise.resolve();
  }

  /** Ends every task. */
  stop(): Promise<void> {
    return Promise.resolve();
  }

  /** Charges one request; undefined when it fits every window. */
  abstract charge(
    limits: AccountLimits,
    signal: AbortSignal,
  ): Promise<LimitRefusal | undefined>;

  /** Gives one charge back. */
  abstract refund(limits: AccountLimits): void;

  /** The accounts that were used of late. */
  abstract accounts(): readonly EntryAccount[];

  /** Daemons among which an allowance is divided. */
  abstract daemonCount(): number;
}
