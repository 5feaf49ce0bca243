/**
 * Shares allowances through a home daemon for each customer, which leases
 * requests to the entries. The two strategies in this module differ in how many
 * requests an entry leases ahead.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { DaemonId, DaemonInfo } from "../../types/types.ts";
import type { AccountLimits } from "./account.ts";
import { AccountTable } from "./account_table.ts";
import { AllowanceSharing } from "./allowance_sharing.ts";
import {
  ConnectAllowancePeers,
  registerAllowanceService,
} from "./connect_allowance.ts";
import type { EntryAccount } from "./entry_account.ts";
import type { LimitRefusal } from "./limit_refusal.ts";
import { HomeLink, type HomeLinkDependencies } from "./home_link.ts";
import { HomeRanking } from "./home_ranking.ts";
import { LedgerKeeper, type LedgerTimes } from "./ledger_keeper.ts";
import { PeerSuspicion } from "./peer_suspicion.ts";

const times: LedgerTimes = {
  syncIntervalMs: 100,
  leaseDurationMs: 1_000,
  probeIntervalMs: 500,
};
const exchangeTimeoutMs = 200;
/** Short because an entry waits for the relaying daemon in the meantime. */
const relayTimeoutMs = 60;
/** A request waits at most this long for answers of the home. */
const maxWaitMs = 400;
const idleCheckIntervalMs = 1_000;

/** Charges requests against leases from the customer's home daemon. */
export abstract class HomeSharing extends AllowanceSharing {
  readonly #accounts = new AccountTable();
  readonly #links = new Map<DaemonId, HomeLink>();
  readonly #tasks = new Set<Promise<void>>();
  readonly #stopping = new AbortController();
  #dependencies: HomeLinkDependencies | undefined;
  #ranking: HomeRanking | undefined;

  /**
   * Returns how long the requests leased ahead should last at the current
   * demand; 0 leases nothing ahead.
   */
  protected abstract prefetchDurationMs(syncIntervalMs: number): number;

  override start(services: ServiceLookup): Promise<void> {
    const ranking = new HomeRanking(services);
    const suspicion = new PeerSuspicion();
    const peers = new ConnectAllowancePeers(services, {
      exchangeTimeoutMs,
      relayTimeoutMs,
    });
    const keeper = new LedgerKeeper({
      services,
      peers,
      ranking,
      suspicion,
      times,
    });
    registerAllowanceService(services, keeper);
    const prefetchDurationMs = this.prefetchDurationMs(times.syncIntervalMs);
    this.#ranking = ranking;
    this.#dependencies = {
      services,
      peers,
      keeper,
      suspicion,
      times,
      prefetchDurationMs,
    };
    this.#trackTask(keeper.replicateUntilStopped(this.#stopping.signal));
    this.#trackTask(this.#dropIdleUntilStopped(services));
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.#stopping.abort();
    this.#ranking?.close();
    await Promise.all(this.#tasks);
  }

  override async charge(
    limits: AccountLimits,
    signal: AbortSignal,
  ): Promise<LimitRefusal | undefined> {
    const clock = this.#dependencies!.services.get(ServiceName.Clock);
    const account = this.#accounts.open(limits, clock.nowMs());
    account.noteDemand(limits, clock.nowMs());
    const waitEndsAtMs = clock.nowMs() + maxWaitMs;
    for (;;) {
      const nowMs = clock.nowMs();
      if (account.tryUseLease(nowMs)) return undefined;
      const refusal = account.tryGetRefusal(nowMs);
      if (refusal !== undefined) return refusal;
      const home = this.#tryChooseHome(limits.key.customer);
      const mayWait = nowMs < waitEndsAtMs && !signal.aborted &&
        !this.#stopping.signal.aborted;
      if (home === undefined || !mayWait) {
        return account.chargeEqualShare(nowMs, this.daemonCount());
      }
      const answered = account.waitForAnswer();
      this.#getOrStartLink(home).requestExchange(account);
      await answered;
    }
  }

  override refund(limits: AccountLimits): void {
    const { services } = this.#dependencies!;
    this.#accounts.tryGet(limits)
      ?.refund(services.get(ServiceName.Clock).nowMs());
  }

  override accounts(): readonly EntryAccount[] {
    return this.#accounts.list();
  }

  override daemonCount(): number {
    return this.#ranking!.daemonCount();
  }

  /** Returns the daemon with the highest rank that is not suspect. */
  #tryChooseHome(customer: string): DaemonInfo | undefined {
    return this.#ranking!.rank(customer)
      .find(({ daemonId }) =>
        !this.#dependencies!.suspicion.isSuspect(daemonId)
      );
  }

  #getOrStartLink(home: DaemonInfo): HomeLink {
    const existing = this.#links.get(home.daemonId);
    if (existing !== undefined && !existing.isEnded()) return existing;
    const link = new HomeLink(home, this.#dependencies!);
    this.#links.set(home.daemonId, link);
    this.#trackTask(link.run(this.#stopping.signal));
    return link;
  }

  #trackTask(task: Promise<void>): void {
    this.#tasks.add(task);
    task.finally(() => this.#tasks.delete(task));
  }

  async #dropIdleUntilStopped(services: ServiceLookup): Promise<void> {
    const clock = services.get(ServiceName.Clock);
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await clock.sleep(idleCheckIntervalMs, signal);
      this.#accounts.dropIdle(clock.nowMs());
      for (const [homeId, link] of this.#links) {
        if (link.isEnded()) this.#links.delete(homeId);
      }
    }
  }
}

/** Leases requests ahead in proportion to the demand at each entry. */
export class DemandLeases extends HomeSharing {
  static readonly #prefetchIntervals = 1.5;

  protected override prefetchDurationMs(syncIntervalMs: number): number {
    return syncIntervalMs * DemandLeases.#prefetchIntervals;
  }
}

/** Leases nothing ahead; requests that wait together share a message. */
export class PureHome extends HomeSharing {
  protected override prefetchDurationMs(_syncIntervalMs: number): number {
    return 0;
  }
}
