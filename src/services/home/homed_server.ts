/**
 * The state that a home keeps for one backend server: its queue, the slots in
 * use, its health, its grants and the request counts of its keys and shards.
 * The tasks that use this state are in the modules `*_task.ts`.
 */
import { setMaxListeners } from "node:events";
import { MessageCode } from "../../diagnostics/messages.ts";
import { BackendServerState, RequestClass } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type { AssignedServer, ServiceDefinition } from "../../types/types.ts";
import { err } from "neverthrow";
import { ClassQueue } from "./class_queue.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { HomedServerStatus } from "./home.ts";
import { HotKeyCounter } from "./hot_key_counter.ts";
import type { QueuedRequest } from "./queued_request.ts";
import type { ServerGrants } from "./server_grants.ts";
import { ShardCounter } from "./shard_counter.ts";
import { ServerHealth } from "./server_health.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";

/** Maximum number of requests that wait for one server. */
const queueCapacity = 512;
const hotKeyCapacity = 64;
/** A draining server receives new requests for this time at most. */
const drainGraceMs = 1_500;

/** One backend server homed here. */
export class HomedServer {
  readonly definition: ServiceDefinition;
  readonly server: AssignedServer;
  readonly grants: ServerGrants;
  readonly limit: ConcurrencyLimit;
  readonly health: ServerHealth;
  readonly hotKeys = new HotKeyCounter(hotKeyCapacity);
  readonly shardCounts = new ShardCounter();
  /** Ends the server's tasks when it is no longer homed here. */
  readonly retired = new AbortController();
  /** Wakes the health task. */
  readonly healthWakeup = new ChangeSignal();
  /** Wakes the grant task. */
  readonly grantWakeup = new ChangeSignal();
  /** Wakes the slot tasks: a request was queued, or a slot became free. */
  readonly #slotWakeup = new ChangeSignal();
  readonly #queue = new ClassQueue<QueuedRequest>(queueCapacity);
  #busyCount = 0;
  #busyArchiveCount = 0;
  #completedCount = 0;

  constructor(
    definition: ServiceDefinition,
    server: AssignedServer,
    grants: ServerGrants,
  ) {
    this.definition = definition;
    this.server = server;
    this.grants = grants;
    // The tasks and requests of the server add more listeners to this signal
    // than Node's default warning limit allows.
    setMaxListeners(0, this.retired.signal);
    this.health = new ServerHealth(server.state);
    this.limit = new ConcurrencyLimit(definition.slotsPerServer, {
      isWarming: this.health.state === BackendServerState.Warming,
    });
  }

  get queuedCount(): number {
    return this.#queue.size;
  }

  get busyCount(): number {
    return this.#busyCount;
  }

  /** The state and load of the server; the home adds the permit. */
  status(): Omit<HomedServerStatus, "permitRemainingMs"> {
    return {
      service: this.definition.name,
      serverId: this.server.serverId,
      state: this.health.state,
      queuedCount: this.queuedCount,
      inFlightCount: this.#busyCount,
      slotLimit: this.limit.current,
    };
  }

  /** Why the server accepts no new requests; undefined when it accepts them. */
  tryGetClosedReason(nowMs: number): string | undefined {
    const { state, drainingSeenAtMs } = this.health;
    if (state === BackendServerState.Lost) return "lost";
    if (drainingSeenAtMs === undefined) return undefined;
    return nowMs - drainingSeenAtMs >= drainGraceMs ? "draining" : undefined;
  }

  /**
   * Queues a request; a full queue sheds the request that would be served last.
   */
  enqueue(entry: QueuedRequest): void {
    const shed = this.#queue.push(entry);
    shed?.settle(err(
      new RouterError(MessageCode.Overloaded, "queue", {
        peer: this.server.serverId,
        detail: `the queue of ${this.server.serverId} is full`,
      }),
    ));
    this.#slotWakeup.notify();
  }

  /** Removes and returns the queued requests that match. */
  removeQueued(matches: (entry: QueuedRequest) => boolean): QueuedRequest[] {
    return this.#queue.removeWhere(matches);
  }

  /** Waits for a request and a free slot; undefined when `signal` aborts. */
  async takeNext(signal: AbortSignal): Promise<QueuedRequest | undefined> {
    while (!signal.aborted) {
      const entry = this.#tryTakeNext();
      if (entry !== undefined) return entry;
      await this.#slotWakeup.wait(signal);
    }
    return undefined;
  }

  /** Frees the slot of a request that `takeNext` returned. */
  finish(entry: QueuedRequest): void {
    this.#busyCount -= 1;
    if (isArchive(entry)) this.#busyArchiveCount -= 1;
    if (this.#busyCount === 0) this.health.noteIdle();
    this.#slotWakeup.notify();
  }

  noteCompleted(): void {
    this.#completedCount += 1;
  }

  /** Returns the number of completed requests since the last call. */
  takeCompletedCount(): number {
    const count = this.#completedCount;
    this.#completedCount = 0;
    return count;
  }

  /**
   * Takes the next request if a slot is free. Archive requests leave one slot
   * free for other classes unless the limit is one.
   */
  #tryTakeNext(): QueuedRequest | undefined {
    const slotCount = this.limit.current;
    if (this.#busyCount >= slotCount) return undefined;
    const archiveSlotCount = Math.max(1, slotCount - 1);
    const entry = this.#queue.tryTakeFirst({
      isArchiveAllowed: this.#busyArchiveCount < archiveSlotCount,
    });
    if (entry === undefined) return undefined;
    this.#busyCount += 1;
    if (isArchive(entry)) this.#busyArchiveCount += 1;
    return entry;
  }
}

function isArchive(entry: QueuedRequest): boolean {
  return entry.request.requestClass === RequestClass.Archive;
}
