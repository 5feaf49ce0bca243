/**
 * Copies idempotency records to the standby daemons. One task for each standby
 * sends what has gathered since its last call, so that an intent costs a part
 * of a message. An intent is confirmed before its request is sent; outcomes
 * follow without being waited for.
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

/** What the recorder uses. */
export interface StandbyRecorderOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly metrics: Metrics;
  readonly peers: PeerTransport;
  readonly records: IdempotencyRecords;
}

/** A record on its way to a standby. */
interface PendingRecord {
  readonly record: IdempotencyRecord;
  settle(isStored: boolean): void;
}

/** The records on their way to one standby. */
interface StandbyQueue {
  readonly daemonId: DaemonId;
  readonly pending: PendingRecord[];
  readonly wakeup: ChangeSignal;
}

/** Sends records to standby daemons. */
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
   * outcome `NotSent` when the standby does not confirm it, since a repeat
   * after the loss of this daemon could then run twice. Without a standby the
   * request goes ahead and is counted.
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

  /** Copies an outcome or an older record without waiting for it. */
  sendWithoutWaiting(
    record: IdempotencyRecord,
    standbyId: DaemonId | undefined,
  ): void {
    const { membership } = this.#options;
    if (standbyId === undefined || standbyId === membership.self().daemonId) {
      return;
    }
    this.#enqueue(standbyId, record);
  }

  /** Ends the tasks after their present call. */
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

  /** One task for each standby. */
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
