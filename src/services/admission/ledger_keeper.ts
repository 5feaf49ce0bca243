/**
 * The ledgers that this daemon keeps: as the home of some customers, and as
 * copies for the day another home is lost. A request that belongs to a
 * reachable daemon of a higher rank is relayed to it, so two daemons grant
 * from the same account only while they can't reach each other.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { DaemonId, DaemonInfo } from "../../types/types.ts";
import { type AccountKey, accountNameOf, tryFindLimits } from "./account.ts";
import { AllowanceLedger, type LedgerTerms } from "./allowance_ledger.ts";
import type {
  AccountGrant,
  AccountReport,
  LedgerCopy,
} from "./allowance_messages.ts";
import type { AllowancePeers } from "./allowance_peers.ts";
import type { HomeRanking } from "./home_ranking.ts";
import type { PeerSuspicion } from "./peer_suspicion.ts";

/** Times that all daemons of a fleet share. */
export interface LedgerTimes {
  readonly syncIntervalMs: number;
  readonly leaseDurationMs: number;
  /** Delay between attempts to reach a peer that failed. */
  readonly probeIntervalMs: number;
}

/** A gap between turns of the replication task that tells of a freeze. */
const frozenGapIntervals = 5;

/** What a keeper works with. */
export interface LedgerKeeperParts {
  readonly services: ServiceLookup;
  readonly peers: AllowancePeers;
  readonly ranking: HomeRanking;
  readonly suspicion: PeerSuspicion;
  readonly times: LedgerTimes;
}

/** Keeps ledgers and copies them to the next daemon in rank. */
export class LedgerKeeper {
  readonly #parts: LedgerKeeperParts;
  readonly #ledgers = new Map<string, AllowanceLedger>();
  readonly #opening = new Map<string, Promise<AllowanceLedger | undefined>>();
  #lastTurnAtMs: number;
  #lastProbeAtMs = 0;

  constructor(parts: LedgerKeeperParts) {
    this.#parts = parts;
    this.#lastTurnAtMs = this.#nowMs();
  }

  /** Answers a report; undefined when this daemon can't decide. */
  async exchange(
    report: AccountReport,
    { isRelayed }: { readonly isRelayed: boolean },
  ): Promise<AccountGrant | undefined> {
    if (!isRelayed) {
      const relayed = await this.#tryRelay(report);
      if (relayed !== undefined) return relayed;
    }
    const ledger = await this.#open(report.key);
    const terms = this.#termsOf(report.key);
    if (ledger === undefined || terms === undefined) return undefined;
    return ledger.exchange(report, terms);
  }

  /** Takes in a copy from a peer. */
  receiveCopy(copy: LedgerCopy, senderId: DaemonId): void {
    const terms = this.#termsOf(copy.key);
    if (terms === undefined) return;
    const name = accountNameOf(copy.key);
    let ledger = this.#ledgers.get(name);
    if (ledger === undefined) {
      if (copy.windows === undefined) return;
      ledger = new AllowanceLedger(copy.key, terms.nowMs);
      this.#ledgers.set(name, ledger);
    }
    ledger.merge(copy, terms);
    ledger.copyHolder = senderId;
  }

  /** The whole ledger of an account; undefined when there is none here. */
  tryCopy(key: AccountKey): LedgerCopy | undefined {
    return this.#ledgers.get(accountNameOf(key))?.toCopy(this.#nowMs());
  }

  /** Ledgers held here. */
  ledgerCount(): number {
    return this.#ledgers.size;
  }

  /** Copies ledgers to the next daemon in rank until stopped. */
  async replicateUntilStopped(signal: AbortSignal): Promise<void> {
    const { services, times } = this.#parts;
    const clock = services.get(ServiceName.Clock);
    while (!signal.aborted) {
      this.#detectFreeze();
      await this.#probeSuspects();
      await this.replicateOnce();
      this.#dropIdle();
      await clock.sleep(times.syncIntervalMs, signal);
    }
  }

  /** Sends what has changed since the last call. */
  async replicateOnce(): Promise<void> {
    const batches = new Map<
      string,
      { peer: DaemonInfo; copies: LedgerCopy[] }
    >();
    for (const ledger of this.#ledgers.values()) {
      const peer = this.#copyTargetOf(ledger.key.customer);
      if (peer === undefined) continue;
      const copy = this.#takeCopy(ledger, peer);
      if (copy === undefined) continue;
      const batch = batches.get(peer.daemonId) ?? { peer, copies: [] };
      batch.copies.push(copy);
      batches.set(peer.daemonId, batch);
    }
    await Promise.all([...batches.values()].map((batch) => this.#send(batch)));
  }

  /** The change since the last copy, or everything for a new holder. */
  #takeCopy(
    ledger: AllowanceLedger,
    peer: DaemonInfo,
  ): LedgerCopy | undefined {
    const changes = ledger.takeChanges();
    if (ledger.copyHolder === peer.daemonId) return changes;
    ledger.copyHolder = peer.daemonId;
    return ledger.toCopy(this.#nowMs());
  }

  async #send(
    { peer, copies }: { peer: DaemonInfo; copies: readonly LedgerCopy[] },
  ): Promise<void> {
    const sent = await this.#parts.peers.replicate(peer, copies);
    if (sent.isOk()) return;
    this.#parts.suspicion.suspect(peer);
    for (const { key } of copies) {
      const ledger = this.#ledgers.get(accountNameOf(key));
      if (ledger !== undefined) ledger.copyHolder = undefined;
    }
  }

  /** The home, or at the home the next daemon in rank. */
  #copyTargetOf(customer: string): DaemonInfo | undefined {
    const { ranking, suspicion } = this.#parts;
    const selfId = this.#selfId();
    return ranking.rank(customer)
      .filter(({ daemonId }) => daemonId !== selfId)
      .find(({ daemonId }) => !suspicion.isSuspect(daemonId));
  }

  /** Passes a report on to the first reachable daemon of a higher rank. */
  async #tryRelay(report: AccountReport): Promise<AccountGrant | undefined> {
    const { ranking, suspicion, peers } = this.#parts;
    for (const daemon of ranking.rank(report.key.customer)) {
      if (daemon.daemonId === this.#selfId()) return undefined;
      if (suspicion.isSuspect(daemon.daemonId)) continue;
      const answered = await peers.exchange(daemon, [report], {
        isRelayed: true,
      });
      if (answered.isErr()) suspicion.suspect(daemon);
      else if (answered.value[0] !== undefined) return answered.value[0];
    }
    return undefined;
  }

  /** Finds a ledger; one that may be out of date is first compared. */
  #open(key: AccountKey): Promise<AllowanceLedger | undefined> {
    this.#detectFreeze();
    const name = accountNameOf(key);
    const known = this.#ledgers.get(name);
    if (known?.isVerified) return Promise.resolve(known);
    const opening = this.#opening.get(name) ??
      this.#recover(key).finally(() => this.#opening.delete(name));
    this.#opening.set(name, opening);
    return opening;
  }

  async #recover(key: AccountKey): Promise<AllowanceLedger | undefined> {
    const { ranking, suspicion, peers } = this.#parts;
    const others = ranking.rank(key.customer)
      .filter(({ daemonId }) => daemonId !== this.#selfId())
      .filter(({ daemonId }) => !suspicion.isSuspect(daemonId));
    const answers = await Promise.all(others.map(async (peer) => {
      const fetched = await peers.fetchLedger(peer, key);
      if (fetched.isErr()) suspicion.suspect(peer);
      return fetched;
    }));
    const terms = this.#termsOf(key);
    if (terms === undefined) return undefined;
    const name = accountNameOf(key);
    const ledger = this.#ledgers.get(name) ??
      new AllowanceLedger(key, terms.nowMs);
    for (const answer of answers) {
      if (answer.isOk() && answer.value !== undefined) {
        ledger.merge(answer.value, terms);
      }
    }
    ledger.isVerified = true;
    this.#ledgers.set(name, ledger);
    return ledger;
  }

  /** After a freeze, another daemon may have granted in our place. */
  #detectFreeze(): void {
    const nowMs = this.#nowMs();
    const gapMs = nowMs - this.#lastTurnAtMs;
    this.#lastTurnAtMs = nowMs;
    if (gapMs > this.#parts.times.syncIntervalMs * frozenGapIntervals) {
      this.#distrustAll();
    }
  }

  #distrustAll(): void {
    for (const ledger of this.#ledgers.values()) {
      ledger.isVerified = false;
      ledger.copyHolder = undefined;
    }
  }

  /** Tries peers that failed; what they granted meanwhile is compared. */
  async #probeSuspects(): Promise<void> {
    const { services, suspicion, peers, times } = this.#parts;
    const nowMs = this.#nowMs();
    if (nowMs - this.#lastProbeAtMs < times.probeIntervalMs) return;
    this.#lastProbeAtMs = nowMs;
    const membership = services.get(ServiceName.Membership);
    await Promise.all(
      suspicion.list().map(async (peer) => {
        const isMember = membership.tryGetDaemon(peer.daemonId) !== undefined;
        const isReached = isMember && (await peers.replicate(peer, [])).isOk();
        if (isReached) this.#distrustAll();
        if (isReached || !isMember) suspicion.clear(peer.daemonId);
      }),
    );
  }

  /** Drops ledgers whose windows are empty by now. */
  #dropIdle(): void {
    for (const [name, ledger] of this.#ledgers) {
      const terms = this.#termsOf(ledger.key);
      const longestMs = Math.max(
        this.#parts.times.leaseDurationMs,
        ...(terms?.limits ?? []).map(({ windowMs }) => windowMs),
      );
      const idleMs = this.#nowMs() - ledger.lastActiveAtMs;
      if (terms === undefined || idleMs > longestMs * 2) {
        this.#ledgers.delete(name);
      }
    }
  }

  #termsOf(key: AccountKey): LedgerTerms | undefined {
    const { services, times } = this.#parts;
    const lists = services.get(ServiceName.Lists).current();
    if (lists === undefined) return undefined;
    const limits = tryFindLimits(lists, key)?.windows;
    if (limits === undefined) return undefined;
    const { leaseDurationMs } = times;
    return { nowMs: this.#nowMs(), limits, leaseDurationMs };
  }

  #nowMs(): number {
    return this.#parts.services.get(ServiceName.Clock).nowMs();
  }

  #selfId(): string {
    return this.#parts.services.get(ServiceName.Membership).self().daemonId;
  }
}
