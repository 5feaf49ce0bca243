/**
 * Transfers the idempotency records of shards and keys to their new home. One
 * task for each former home fetches the records from it or, if it doesn't
 * answer, from its standby. Until the records are fetched, requests for these
 * shards and keys with an idempotency key wait.
 */
import { setMaxListeners } from "node:events";
import { createClient } from "@connectrpc/connect";
import { DeliveryPeers } from "../../gen/skylarkridge/v1/delivery_pb.ts";
import type { Clock } from "../../host/clock.ts";
import { DeadlineSignal } from "../../host/deadline_signal.ts";
import type { PeerTransport } from "../../host/peer_transport.ts";
import type { DaemonId, ServiceAssignment } from "../../types/types.ts";
import type { Membership } from "../membership/membership.ts";
import { CounterName, type Metrics } from "../metrics/metrics.ts";
import type { Ownership } from "../ownership/ownership.ts";
import { HomeHistory, type RecordHolders } from "./home_history.ts";
import {
  type IdempotencyRecords,
  idempotencyWindowMs,
  type RecordScope,
} from "./idempotency_records.ts";
import { decodeRecord } from "./record_codec.ts";
import type { StandbyRecorder } from "./standby_recorder.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";

const callTimeoutMs = 400;
const retryIntervalMs = 200;

export interface RecordTransferOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly metrics: Metrics;
  readonly ownership: Ownership;
  readonly peers: PeerTransport;
  readonly records: IdempotencyRecords;
  readonly standbys: StandbyRecorder;
}

/** The transfer of the records that one former home held. */
interface Transfer {
  readonly source: RecordHolders;
  isReady: boolean;
}

/** Fetches records after a change of home, and sends them to new standbys. */
export class RecordTransfer {
  readonly #options: RecordTransferOptions;
  readonly #stopping = new AbortController();
  readonly #history = new HomeHistory();
  /** Unfinished transfers; finished ones are removed. */
  readonly #transfers = new Set<Transfer>();
  readonly #tasks = new Set<Promise<void>>();
  readonly #changed = new ChangeSignal();

  constructor(options: RecordTransferOptions) {
    this.#options = options;
    setMaxListeners(0, this.#stopping.signal);
  }

  /** Records an assignment and starts the transfers that it requires. */
  noteAssignment(assignment: ServiceAssignment): void {
    const { membership, ownership } = this.#options;
    const change = this.#history.noteAssignment(assignment, {
      selfId: membership.self().daemonId,
      tryGetShard(key) {
        const located = ownership.locate(assignment.service, key);
        return located.isOk() ? located.value.shard : undefined;
      },
    });
    for (const source of change.takenOverFrom) this.#startTransfer(source);
    for (const target of change.newStandbys) this.#copyRecords(target);
  }

  /** Waits for the records that cover `scope`; false when `signal` aborts. */
  async waitUntilReady(
    scope: RecordScope,
    signal: AbortSignal,
  ): Promise<boolean> {
    while (this.#isAwaitingRecords(scope)) {
      if (signal.aborted) return false;
      await this.#changed.wait(signal);
    }
    return true;
  }

  /** Aborts the transfers and waits until their tasks have ended. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await Promise.all(this.#tasks);
  }

  #isAwaitingRecords(scope: RecordScope): boolean {
    return [...this.#transfers].some(({ source, isReady }) =>
      !isReady && isScopeCovered(source, scope)
    );
  }

  #startTransfer(source: RecordHolders): void {
    const transfer = { source, isReady: false };
    this.#transfers.add(transfer);
    const task = this.#runTransfer(transfer).finally(() => {
      this.#transfers.delete(transfer);
      this.#tasks.delete(task);
      this.#changed.notify();
    });
    this.#tasks.add(task);
  }

  /**
   * Fetches from the former home, then from its standby, and repeats until one
   * of them has answered or the records would have expired. Does not repeat
   * when the former home had no standby, or when this daemon was the standby
   * and so holds a copy of the records already.
   */
  async #runTransfer(transfer: Transfer): Promise<void> {
    const { clock, membership, metrics } = this.#options;
    const { source } = transfer;
    const { signal } = this.#stopping;
    const giveUpAtMs = clock.nowMs() + idempotencyWindowMs;
    const isSelfStandby = source.standbyId === membership.self().daemonId;
    if (isSelfStandby) this.#markReady(transfer);
    while (!signal.aborted && clock.nowMs() < giveUpAtMs) {
      if (await this.#fetchAll(source.homeId, source)) return;
      if (isSelfStandby) return;
      if (source.standbyId === undefined) break;
      if (await this.#fetchAll(source.standbyId, source)) return;
      await clock.sleep(retryIntervalMs, signal);
    }
    metrics.count(CounterName.RecordsMissing);
  }

  #markReady(transfer: Transfer): void {
    transfer.isReady = true;
    this.#changed.notify();
  }

  /**
   * Fetches every page from one daemon; false when the daemon does not answer.
   */
  async #fetchAll(daemonId: DaemonId, source: RecordHolders): Promise<boolean> {
    const { clock, membership, peers, records } = this.#options;
    const daemon = membership.tryGetDaemon(daemonId);
    if (daemon === undefined) return false;
    const client = createClient(DeliveryPeers, peers.connectTo(daemon.address));
    const { service, shards, keys } = source;
    let afterSequence = 0;
    for (;;) {
      const timeout = new DeadlineSignal(clock, {
        atMs: clock.nowMs() + callTimeoutMs,
        parent: this.#stopping.signal,
      });
      const call = client.fetchRecords(
        { service, shards: [...shards], keys: [...keys], afterSequence },
        { signal: timeout.signal },
      ).catch(() => undefined);
      const page = await Promise.race([call, timeout.aborted]);
      timeout.dispose();
      if (page === undefined) return false;
      const nowMs = clock.nowMs();
      for (const message of page.records) {
        records.merge(decodeRecord(message, nowMs));
      }
      if (!page.hasMore) return true;
      afterSequence = page.lastSequence;
    }
  }

  /** Sends a new standby the records that existed before its appointment. */
  #copyRecords(target: RecordHolders): void {
    const { records, standbys } = this.#options;
    const held = records.list((scope) => isScopeCovered(target, scope), {
      afterSequence: 0,
      limit: Number.POSITIVE_INFINITY,
    });
    for (const record of held) standbys.queueCopy(record, target.standbyId);
  }
}

function isScopeCovered(source: RecordHolders, scope: RecordScope): boolean {
  return source.service === scope.service &&
    (source.shards.has(scope.shard) || source.keys.has(scope.key));
}
