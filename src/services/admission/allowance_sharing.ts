/**
 * The contract of the strategies by which daemons share one fleet-wide
 * allowance. They differ in the number of messages and in how far the admitted
 * use deviates from the allowance; `docs/LISTS.md` compares them.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import type { AccountLimits } from "./account.ts";
import type { EntryAccount } from "./entry_account.ts";
import type { LimitRefusal } from "./limit_refusal.ts";

/** Charges requests against fleet-wide allowances. */
export abstract class AllowanceSharing {
  /** Starts the tasks of the strategy. */
  start(_services: ServiceLookup): Promise<void> {
    return Promise.resolve();
  }

  /** Stops the tasks of the strategy and waits for them. */
  stop(): Promise<void> {
    return Promise.resolve();
  }

  /** Charges one request; returns undefined when it is within every window. */
  abstract charge(
    limits: AccountLimits,
    signal: AbortSignal,
  ): Promise<LimitRefusal | undefined>;

  /** Refunds one charge. */
  abstract refund(limits: AccountLimits): void;

  /** Returns the accounts that were used recently. */
  abstract accounts(): readonly EntryAccount[];

  /** Number of daemons that share the allowances. */
  abstract daemonCount(): number;
}
