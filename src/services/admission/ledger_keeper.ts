/**
 * The ledgers on this daemon: those of the customers whose home it is, and
 * copies that it uses when another home is lost. A report is relayed to the
 * reachable daemon with the highest rank, so two daemons grant leases of the
 * same account only while they can't reach each other.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { DaemonId, DaemonInfo } from "../../types/types.ts";
import {
  type AccountKey,
  formatAccountName,
  tryFindLimits,
} from "./account.ts";
import { AllowanceLedger, type LedgerContext } from "./allowance_ledger.ts";
import type {
  AccountGrant,
  AccountReport,
  LedgerCopy,
} from "./allowance_messages.ts";
import type { AllowancePeers } from "./allowance_peers.ts";
import type { HomeRanking } from "./home_ranking.ts";
import type { PeerSuspicion } from "./peer_suspicion.ts";

/** Intervals and durations that are the same on all daemons of a fleet. */
export interface LedgerTimes {
  readonly syncIntervalMs: number;
  readonly leaseDurationMs: number;
  /** Interval between calls to suspect peers. */
  readonly probeIntervalMs: number;
}

/** A suspension of the process is assumed after this many sync intervals without a check. */
const suspensionThresholdIntervalCount = 5;

export interface LedgerKeeperDependencies {
  readonly services: ServiceLookup;
  readonly peers: AllowancePeers;
  readonly ranking: HomeRanking;
  readonly suspicion: PeerSuspicion;
  readonly times: LedgerTimes;
}

/** Answers reports and copies the ledgers to the next daemon in rank. */
export class LedgerKeeper {
  readonly #dependencies: LedgerKeeperDependencies;
  readonly #ledgers = new Map<string, AllowanceLedger>();
  readonly #recoveries = new Map<
    string,
    Promise<AllowanceLedger | undefined>
  >();
  #lastSuspensionCheckAtMs: number;
  #lastProbeAtMs = 0;

  constructor(dependencies: LedgerKeeperDependencies) {
    this.#dependencies = dependencies;
    this.#lastSuspensionCheckAtMs = this.#nowMs();
  }

  /** Answers a report; returns undefined when this daemon can't decide. */
  async exchange(
    report: AccountReport,
    { isRelayed }: { readonly isRelayed: boolean },
  ): Promise<AccountGrant | undefined> {
    if (!isRelayed) {
      const relayed = await this.#tryRelay(report);
      if (relayed !== undefined) return relayed;
    }
    const ledger = await this.#tryGetVerifiedLedger(report.key);
    const context = this.#tryCreateContext(report.key);
    if (ledger === undefined || context === undefined) return undefined;
    return ledger.exchange(report, context);
  }

  /**
   * Merges a peer's copy. Ignores accounts without limits, and changes to a
   * ledger that this daemon lacks.
   */
  receiveCopy(copy: LedgerCopy, senderId: DaemonId): void {
    const context = this.#tryCreateContext(copy.key);
    if (context === undefined) return;
    const name = formatAccountName(copy.key);
    let ledger = this.#ledgers.get(name);
    if (ledger === undefined) {
      if (copy.windows === undefined) return;
      ledger = new AllowanceLedger(copy.key, context.nowMs);
      this.#ledgers.set(name, ledger);
    }
    ledger.merge(copy, context);
    ledger.copyHolderId = senderId;
  }

  /** Returns a complete copy of a ledger; undefined when there is none here. */
  tryCopy(key: AccountKey): LedgerCopy | undefined {
    return this.#ledgers.get(formatAccountName(key))?.toCopy(this.#nowMs());
  }

  /** Number of ledgers on this daemon, including copies. */
  ledgerCount(): number {
    return this.#ledgers.size;
  }

  /** Runs the replication task until `signal` aborts. */
  async replicateUntilStopped(signal: AbortSignal): Promise<void> {
    const { services, times } = this.#dependencies;
    const clock = services.get(ServiceName.Clock);
    while (!signal.aborted) {
      this.#detectSuspension();
      await this.#probeSuspects();
      await this.replicateOnce();
      this.#dropIdle();
      await clock.sleep(times.syncIntervalMs, signal);
    }
  }

  /** Sends the changes since the previous call, one message for each peer. */
  async replicateOnce(): Promise<void> {
    const batches = new Map<
      string,
      { peer: DaemonInfo; copies: LedgerCopy[] }
    >();
    for (const ledger of this.#ledgers.values()) {
      const peer = this.#tryChooseCopyTarget(ledger.key.customer);
      if (peer === undefined) continue;
      const copy = this.#tryTakeCopy(ledger, peer);
      if (copy === undefined) continue;
      const batch = batches.get(peer.daemonId) ?? { peer, copies: [] };
      batch.copies.push(copy);
      batches.set(peer.daemonId, batch);
    }
    await Promise.all([...batches.values()].map((batch) => this.#send(batch)));
  }

  /** Returns the changes, or a complete copy for a peer that has none yet. */
  #tryTakeCopy(
    ledger: AllowanceLedger,
    peer: DaemonInfo,
  ): LedgerCopy | undefined {
    const changes = ledger.takeChanges();
    if (ledger.copyHolderId === peer.daemonId) return changes;
    ledger.copyHolderId = peer.daemonId;
    return ledger.toCopy(this.#nowMs());
  }

  async #send(
    { peer, copies }: { peer: DaemonInfo; copies: readonly LedgerCopy[] },
  ): Promise<void> {
    const result = await this.#dependencies.peers.replicate(peer, copies);
    if (result.isOk()) return;
    this.#dependencies.suspicion.suspect(peer);
    for (const { key } of copies) {
      const ledger = this.#ledgers.get(formatAccountName(key));
      if (ledger !== undefined) ledger.copyHolderId = undefined;
    }
  }

  /** Returns the home or, on the home itself, the next daemon in rank. */
  #tryChooseCopyTarget(customer: string): DaemonInfo | undefined {
    const { ranking, suspicion } = this.#dependencies;
    const selfId = this.#selfId();
    return ranking.rank(customer)
      .filter(({ daemonId }) => daemonId !== selfId)
      .find(({ daemonId }) => !suspicion.isSuspect(daemonId));
  }

  /** Relays a report to a daemon of a higher rank, if any decides on it. */
  async #tryRelay(report: AccountReport): Promise<AccountGrant | undefined> {
    const { ranking, suspicion, peers } = this.#dependencies;
    for (const daemon of ranking.rank(report.key.customer)) {
      if (daemon.daemonId === this.#selfId()) return undefined;
      if (suspicion.isSuspect(daemon.daemonId)) continue;
      const result = await peers.exchange(daemon, [report], {
        isRelayed: true,
      });
      if (result.isErr()) suspicion.suspect(daemon);
      else if (result.value[0] !== undefined) return result.value[0];
    }
    return undefined;
  }

  /** Returns a ledger; merges the peers' copies first if it may be outdated. */
  #tryGetVerifiedLedger(key: AccountKey): Promise<AllowanceLedger | undefined> {
    this.#detectSuspension();
    const name = formatAccountName(key);
    const existing = this.#ledgers.get(name);
    if (existing?.isVerified) return Promise.resolve(existing);
    const recovery = this.#recoveries.get(name) ??
      this.#tryRecoverLedger(key).finally(() => this.#recoveries.delete(name));
    this.#recoveries.set(name, recovery);
    return recovery;
  }

  async #tryRecoverLedger(
    key: AccountKey,
  ): Promise<AllowanceLedger | undefined> {
    const { ranking, suspicion, peers } = this.#dependencies;
    const others = ranking.rank(key.customer)
      .filter(({ daemonId }) => daemonId !== this.#selfId())
      .filter(({ daemonId }) => !suspicion.isSuspect(daemonId));
    const results = await Promise.all(others.map(async (peer) => {
      const result = await peers.fetchLedger(peer, key);
      if (result.isErr()) suspicion.suspect(peer);
      return result;
    }));
    const context = this.#tryCreateContext(key);
    if (context === undefined) return undefined;
    const name = formatAccountName(key);
    const ledger = this.#ledgers.get(name) ??
      new AllowanceLedger(key, context.nowMs);
    for (const result of results) {
      if (result.isOk() && result.value !== undefined) {
        ledger.merge(result.value, context);
      }
    }
    ledger.isVerified = true;
    this.#ledgers.set(name, ledger);
    return ledger;
  }

  /** Invalidates all ledgers after a suspension of the process; a peer may have granted leases. */
  #detectSuspension(): void {
    const nowMs = this.#nowMs();
    const gapMs = nowMs - this.#lastSuspensionCheckAtMs;
    this.#lastSuspensionCheckAtMs = nowMs;
    if (
      gapMs >
        this.#dependencies.times.syncIntervalMs *
          suspensionThresholdIntervalCount
    ) {
      this.#invalidateAll();
    }
  }

  #invalidateAll(): void {
    for (const ledger of this.#ledgers.values()) {
      ledger.isVerified = false;
      ledger.copyHolderId = undefined;
    }
  }

  /**
   * Calls suspect peers. When a peer can be reached again, invalidates all
   * ledgers, since the peer may have granted leases in the meantime.
   */
  async #probeSuspects(): Promise<void> {
    const { services, suspicion, peers, times } = this.#dependencies;
    const nowMs = this.#nowMs();
    if (nowMs - this.#lastProbeAtMs < times.probeIntervalMs) return;
    this.#lastProbeAtMs = nowMs;
    const membership = services.get(ServiceName.Membership);
    await Promise.all(
      suspicion.list().map(async (peer) => {
        const isMember = membership.tryGetDaemon(peer.daemonId) !== undefined;
        const isReachable = isMember &&
          (await peers.replicate(peer, [])).isOk();
        if (isReachable) this.#invalidateAll();
        if (isReachable || !isMember) suspicion.clear(peer.daemonId);
      }),
    );
  }

  /** Drops ledgers without limits, or unused for twice the longest window. */
  #dropIdle(): void {
    for (const [name, ledger] of this.#ledgers) {
      const context = this.#tryCreateContext(ledger.key);
      const longestDurationMs = Math.max(
        this.#dependencies.times.leaseDurationMs,
        ...(context?.limits ?? []).map(({ windowMs }) => windowMs),
      );
      const idleMs = this.#nowMs() - ledger.lastActiveAtMs;
      if (context === undefined || idleMs > longestDurationMs * 2) {
        this.#ledgers.delete(name);
      }
    }
  }

  #tryCreateContext(key: AccountKey): LedgerContext | undefined {
    const { services, times } = this.#dependencies;
    const lists = services.get(ServiceName.Lists).current();
    if (lists === undefined) return undefined;
    const limits = tryFindLimits(lists, key)?.windows;
    if (limits === undefined) return undefined;
    const { leaseDurationMs } = times;
    return { nowMs: this.#nowMs(), limits, leaseDurationMs };
  }

  #nowMs(): number {
    return this.#dependencies.services.get(ServiceName.Clock).nowMs();
  }

  #selfId(): string {
    return this.#dependencies.services.get(ServiceName.Membership).self()
      .daemonId;
  }
}
