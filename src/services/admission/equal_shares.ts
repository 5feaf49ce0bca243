/** Gives each daemon an equal part of each allowance, without any messages. */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { AccountLimits } from "./account.ts";
import { AccountTable } from "./account_table.ts";
import { AllowanceSharing } from "./allowance_sharing.ts";
import type { EntryAccount } from "./entry_account.ts";
import type { LimitRefusal } from "./limit_refusal.ts";
import { HomeRanking } from "./home_ranking.ts";

/** Divides each allowance by the number of daemons. */
export class EqualShares extends AllowanceSharing {
  readonly #accounts = new AccountTable();
  #services: ServiceLookup | undefined;
  #ranking: HomeRanking | undefined;

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    this.#ranking = new HomeRanking(services);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#ranking?.close();
    return Promise.resolve();
  }

  override charge(
    limits: AccountLimits,
    _signal: AbortSignal,
  ): Promise<LimitRefusal | undefined> {
    const nowMs = this.#nowMs();
    const account = this.#accounts.open(limits, nowMs);
    account.noteDemand(limits, nowMs);
    return Promise.resolve(account.chargeEqualShare(nowMs, this.daemonCount()));
  }

  override refund(limits: AccountLimits): void {
    this.#accounts.tryGet(limits)?.refund(this.#nowMs());
  }

  override accounts(): readonly EntryAccount[] {
    return this.#accounts.list();
  }

  override daemonCount(): number {
    return this.#ranking!.daemonCount();
  }

  #nowMs(): number {
    return this.#services!.get(ServiceName.Clock).nowMs();
  }
}
