/**
 * The task that exchanges reports and leases with one home daemon. It sends one
 * message for all accounts of that home: at an interval while the accounts are
 * in use, and immediately when a request waits for a lease.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import type { DaemonInfo } from "../../types/types.ts";
import type { AccountGrant, AccountReport } from "./allowance_messages.ts";
import type { AllowancePeers } from "./allowance_peers.ts";
import type { EntryAccount } from "./entry_account.ts";
import type { LedgerKeeper, LedgerTimes } from "./ledger_keeper.ts";
import type { PeerSuspicion } from "./peer_suspicion.ts";

/** Dependencies of a link, which the links of all homes share. */
export interface HomeLinkDependencies {
  readonly services: ServiceLookup;
  readonly peers: AllowancePeers;
  readonly keeper: LedgerKeeper;
  readonly suspicion: PeerSuspicion;
  readonly times: LedgerTimes;
  /** How long the requests leased ahead should last at the current demand. */
  readonly prefetchDurationMs: number;
}

/** Consecutive cycles without a report after which the task ends. */
const maxIdleCycleCount = 100;

/** Exchanges reports and leases of many accounts with one home daemon. */
export class HomeLink {
  readonly home: DaemonInfo;
  readonly #dependencies: HomeLinkDependencies;
  readonly #accounts = new Set<EntryAccount>();
  readonly #wakeup = new ChangeSignal();
  #isEnded = false;

  constructor(home: DaemonInfo, dependencies: HomeLinkDependencies) {
    this.home = home;
    this.#dependencies = dependencies;
  }

  /** Adds an account to the next message and wakes the task to send it. */
  requestExchange(account: EntryAccount): void {
    account.homeDaemonId = this.home.daemonId;
    this.#accounts.add(account);
    this.#wakeup.notify();
  }

  /** Whether the task has ended, after which the link can't be used again. */
  isEnded(): boolean {
    return this.#isEnded;
  }

  /** Runs until `signal` aborts or no account has been used for a while. */
  async run(signal: AbortSignal): Promise<void> {
    const { services, times } = this.#dependencies;
    const clock = services.get(ServiceName.Clock);
    let idleCycleCount = 0;
    while (!signal.aborted && idleCycleCount < maxIdleCycleCount) {
      await this.#wakeup.sleep(clock, {
        durationMs: times.syncIntervalMs,
        signal,
      });
      const dueAccounts = this.#selectDueAccounts();
      idleCycleCount = dueAccounts.length === 0 ? idleCycleCount + 1 : 0;
      if (dueAccounts.length > 0) await this.#exchange(dueAccounts);
    }
    this.#isEnded = true;
    for (const account of this.#accounts) {
      if (account.homeDaemonId !== this.home.daemonId) continue;
      account.endReport();
    }
  }

  /** Returns the accounts to report; drops those that have another home now. */
  #selectDueAccounts(): readonly EntryAccount[] {
    for (const account of this.#accounts) {
      if (account.homeDaemonId === this.home.daemonId) continue;
      this.#accounts.delete(account);
    }
    return [...this.#accounts].filter((account) => account.needsReport());
  }

  async #exchange(accounts: readonly EntryAccount[]): Promise<void> {
    const { services, times, prefetchDurationMs } = this.#dependencies;
    const clock = services.get(ServiceName.Clock);
    const { daemonId } = services.get(ServiceName.Membership).self();
    const sentAtMs = clock.nowMs();
    const reports = accounts.map((account) =>
      account.createReport({ daemonId, nowMs: sentAtMs, prefetchDurationMs })
    );
    const grants = await this.#send(reports);
    const nowMs = clock.nowMs();
    const { leaseDurationMs } = times;
    for (const [index, account] of accounts.entries()) {
      const grant = grants[index];
      if (grant === undefined) {
        this.#accounts.delete(account);
        account.endReport();
      } else account.acceptGrant(grant, { sentAtMs, nowMs, leaseDurationMs });
    }
  }

  /** Sends reports; a grant is undefined or absent if the home can't decide. */
  async #send(
    reports: readonly AccountReport[],
  ): Promise<readonly (AccountGrant | undefined)[]> {
    const { services, keeper, peers, suspicion } = this.#dependencies;
    const { daemonId } = services.get(ServiceName.Membership).self();
    if (this.home.daemonId === daemonId) {
      return await Promise.all(
        reports.map((report) => keeper.exchange(report, { isRelayed: false })),
      );
    }
    const result = await peers.exchange(this.home, reports, {
      isRelayed: false,
    });
    if (result.isOk() && result.value.every((g) => g !== undefined)) {
      return result.value;
    }
    suspicion.suspect(this.home);
    return result.isOk() ? result.value : [];
  }
}
