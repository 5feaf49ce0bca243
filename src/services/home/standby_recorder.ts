/**
 * Copies idempotency records to the standby daemons. One task for each standby
 * sends the records queued since its last call as one batch, so that several
 * intents share a message. The standby confirms an intent before its request is
 * sent; outcomes are copied asynchronously.
 */
import { createClient } from "@connectrpc/connect";
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { DeliveryPeers } from "../../gen/skylarkridge/v1/delivery_pb.ts";
import type { Clock } from "../../host/clock.ts";
import { DeadlineSignal } from "../../host/deadline_signal.ts";
import type { PeerTransport } from "../../host/peer_transport.ts";
import { RouterError } from "../../types/errors.ts";
import type { DaemonId } from "../../types/types.ts";
import type { Membership } from "../membership/membership.ts";
import { CounterName, type Metrics } from "../metrics/metrics.ts";
import type {
  IdempotencyRecord,
  IdempotencyRecords,
} from "./idempotency_records.ts";
import type { QueuedRequest } from "./queued_request.ts";
import { tryCreateRecordScope } from "./record_scope.ts";
import { encodeRecord } from "./record_codec.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";

const callTimeoutMs = 400;
const batchSize = 200;
const pendingCapacity = 20_000;

export interface StandbyRecorderOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly metrics: Metrics;
  readonly peers: PeerTransport;
  readonly records: IdempotencyRecords;
}

/** A record that waits to be sent to a standby. */
interface PendingRecord {
  readonly record: IdempotencyRecord;
  settle(isStored: boolean): void;
}

/** The records that wait to be sent to one standby. */
interface StandbyQueue {
  readonly daemonId: DaemonId;
  readonly pending: PendingRecord[];
  readonly wakeup: ChangeSignal;
}

/** Queues records for standby daemons and sends them in batches. */
export class StandbyRecorder {
  readonly #options: StandbyRecorderOptions;
  readonly #stopping = new AbortController();
  readonly #queues = new Map<DaemonId, StandbyQueue>();
  readonly #tasks: Promise<void>[] = [];

  constructor(options: StandbyRecorderOptions) {
    this.#options = options;
  }

  /**
   * Records at the standby that a request is about to be sent. Fails with
   * outcome `NotSent` when the standby does not confirm the intent, since a
   * request without a confirmed intent could run twice if it is repeated after
   * the loss of this daemon. Without a standby the request proceeds and is
   * counted as unprotected.
   */
  async recordIntent(
    entry: QueuedRequest,
    standbyId: DaemonId | undefined,
  ): Promise<Result<void, RouterError>> {
    const { membership, metrics, records } = this.#options;
    if (standbyId === undefined || standbyId === membership.self().daemonId) {
      metrics.count(CounterName.IntentsUnprotected);
      return ok(undefined);
    }
    const scope = tryCreateRecordScope(entry.request, entry.location.shard);
    const record = scope && records.tryFind(scope);
    if (record === undefined) return ok(undefined);
    if (await this.#enqueue(standbyId, record)) return ok(undefined);
    metrics.count(CounterName.IntentsRefused);
    return err(
      new RouterError(MessageCode.PeerUnreachable, "record intent", {
        peer: standbyId,
        detail: "the standby did not confirm the intent",
      }),
    );
  }

  /**
   * Sends an outcome or an existing record without waiting for a confirmation.
   */
  queueCopy(
    record: IdempotencyRecord,
    standbyId: DaemonId | undefined,
  ): void {
    const { membership } = this.#options;
    if (standbyId === undefined || standbyId === membership.self().daemonId) {
      return;
    }
    this.#enqueue(standbyId, record);
  }

  /** Ends the tasks after their current call. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await Promise.all(this.#tasks);
  }

  #enqueue(standbyId: DaemonId, record: IdempotencyRecord): Promise<boolean> {
    const queue = this.#getOrCreateQueue(standbyId);
    if (this.#stopping.signal.aborted) return Promise.resolve(false);
    if (queue.pending.length >= pendingCapacity) return Promise.resolve(false);
    return new Promise((resolve) => {
      queue.pending.push({ record, settle: resolve });
      queue.wakeup.notify();
    });
  }

  #getOrCreateQueue(daemonId: DaemonId): StandbyQueue {
    const existing = this.#queues.get(daemonId);
    if (existing !== undefined) return existing;
    const queue = { daemonId, pending: [], wakeup: new ChangeSignal() };
    this.#queues.set(daemonId, queue);
    this.#tasks.push(this.#runQueue(queue));
    return queue;
  }

  /** The task of one standby. */
  async #runQueue(queue: StandbyQueue): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const batch = queue.pending.splice(0, batchSize);
      if (batch.length === 0) {
        await queue.wakeup.wait(signal);
        continue;
      }
      const isStored = await this.#sendBatch(queue.daemonId, batch);
      for (const { settle } of batch) settle(isStored);
    }
    for (const { settle } of queue.pending.splice(0)) settle(false);
  }

  async #sendBatch(
    daemonId: DaemonId,
    batch: readonly PendingRecord[],
  ): Promise<boolean> {
    const { clock, membership, peers } = this.#options;
    const standby = membership.tryGetDaemon(daemonId);
    if (standby === undefined) return false;
    const nowMs = clock.nowMs();
    const timeout = new DeadlineSignal(clock, { atMs: nowMs + callTimeoutMs });
    const client = createClient(
      DeliveryPeers,
      peers.connectTo(standby.address),
    );
    const call = client.putRecords(
      { records: batch.map(({ record }) => encodeRecord(record, nowMs)) },
      { signal: timeout.signal },
    ).then(() => true, () => false);
    const isStored = await Promise.race([call, timeout.aborted]);
    timeout.dispose();
    return isStored === true;
  }
}
