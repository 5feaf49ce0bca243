/**
 * Answers other daemons with the changes of the store's tables as soon as there
 * are any: as the key granter, which also accepts their load reports, and as any
 * daemon, for those that are cut off from the store and the key granter.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { TableUpdates } from "../feeds/table_feed.ts";
import { readBytes } from "./read_bytes.ts";
import {
  type CopiesRequest,
  decodeCopiesRequest,
  decodeSyncRequest,
  encodeSyncAnswer,
  type SyncAnswer,
  type SyncRequest,
} from "./sync_codec.ts";

/** Age up to which the granter passes its copies on; a daemon that then has to read a slow store itself still gets copies less than two seconds old. */
const maxCopyAgeMs = 1_400;
/** Maximum number of encoded answers in the cache; few are needed, since daemons lag by only a few changes. */
const maxCachedCount = 32;

const statusOk = 200;
const statusBadRequest = 400;
const statusNotGranter = 409;
/** Status of the answer of a granter whose copies are too old. */
export const statusStale = 503;

/** A request for changes; only sync requests have a version of estimates. */
type UpdatesRequest =
  & CopiesRequest
  & Partial<Pick<SyncRequest, "capacityVersion">>;

/** Answers the requests of other daemons for table changes. */
export class SyncResponder {
  readonly #services: ServiceLookup;
  readonly #signal: AbortSignal;
  /** Encoded answers by the versions of the copies before and after the update. */
  readonly #answerCache = new Map<string, Uint8Array>();

  /** `signal` ends the waits for changes. */
  constructor(services: ServiceLookup, signal: AbortSignal) {
    this.#services = services;
    this.#signal = signal;
  }

  /** Answers one sync request of another daemon. */
  async answerSync(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const services = this.#services;
    try {
      const sync = decodeSyncRequest(
        String(await readBytes(request)),
        this.#era,
      );
      if (!services.get(ServiceName.KeyGranter).addLoad(sync.load)) {
        return void response.writeHead(statusNotGranter).end();
      }
      services.get(ServiceName.Capacities).addReport(sync.capacityReport);
      this.#noteLeaving(sync);
      sendAnswer(response, await this.#waitForUpdates(sync));
    } catch (error) {
      this.#refuse(request, { response, error });
    }
  }

  /** Answers a daemon that is cut off from the store and the key granter. */
  async answerCopies(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const copies = decodeCopiesRequest(
        String(await readBytes(request)),
        this.#era,
      );
      this.#noteLeaving(copies);
      sendAnswer(response, await this.#waitForCopies(copies));
    } catch (error) {
      this.#refuse(request, { response, error });
    }
  }

  get #era(): number {
    return this.#services.get(ServiceName.RowStore).eras.current;
  }

  #noteLeaving({ leavingIncarnations }: CopiesRequest): void {
    const directory = this.#services.get(ServiceName.Directory);
    for (const incarnation of leavingIncarnations) {
      directory.noteLeaving(incarnation);
    }
  }

  #refuse(
    request: IncomingMessage,
    { response, error }: {
      readonly response: ServerResponse;
      readonly error: unknown;
    },
  ): void {
    this.#services.get(ServiceName.Log).write(LogEvent.SyncRequestRefused, {
      peer: request.socket.remoteAddress,
      reason: String(error),
    });
    response.writeHead(statusBadRequest).end();
  }

  /** Encodes an answer with the updates and what else is known of the servers. */
  #createAnswer(request: UpdatesRequest, updates: TableUpdates): Uint8Array {
    const directory = this.#services.get(ServiceName.Directory);
    const { capacityVersion } = request;
    return this.#encode(request, {
      updates,
      isDirectoryComplete: directory.isComplete(),
      leavingIncarnations: directory.leavingIncarnations(),
      capacityUpdate: capacityVersion === undefined
        ? undefined
        : this.#services.get(ServiceName.Capacities)
          .pooledAfter(capacityVersion),
    });
  }

  /** Encodes an answer; daemons that lack the same changes share the cached encoding. */
  #encode(
    { versions, capacityVersion }: UpdatesRequest,
    answer: SyncAnswer,
  ): Uint8Array {
    const { updates, isDirectoryComplete, leavingIncarnations } = answer;
    const cacheKey = JSON.stringify([
      isDirectoryComplete,
      leavingIncarnations,
      [capacityVersion, answer.capacityUpdate?.version],
      [...versions],
      [...updates].map(([table, { version }]) => [table, version]),
    ]);
    const cached = this.#answerCache.get(cacheKey);
    if (cached !== undefined) return cached;
    if (this.#answerCache.size >= maxCachedCount) this.#answerCache.clear();
    const encoded = encodeSyncAnswer(answer);
    this.#answerCache.set(cacheKey, encoded);
    return encoded;
  }

  /** Waits for changes and encodes the answer; returns undefined when this daemon's copies are too old. */
  async #waitForUpdates(
    sync: SyncRequest,
  ): Promise<Uint8Array | undefined> {
    const { versions, waitMs } = sync;
    const services = this.#services;
    const clock = services.get(ServiceName.Clock);
    const feed = services.get(ServiceName.TableFeed);
    const deadlineAtMs = clock.nowMs() + waitMs;
    for (;;) {
      const freshMs = feed.remainingFreshMs(maxCopyAgeMs);
      if (freshMs <= 0) return undefined;
      const seenCount = feed.changed.notifyCount;
      const updates = feed.updatesAfter(versions);
      const remainingMs = deadlineAtMs - clock.nowMs();
      if (hasChanges(updates) || remainingMs <= 0) {
        return this.#createAnswer(sync, updates);
      }
      await feed.changed.waitAtMost(clock, {
        durationMs: Math.min(remainingMs, freshMs),
        seenCount,
        signal: this.#signal,
      });
    }
  }

  /** Waits for changes; returns undefined when there are none and this daemon is cut off itself. */
  async #waitForCopies(
    copies: CopiesRequest,
  ): Promise<Uint8Array | undefined> {
    const clock = this.#services.get(ServiceName.Clock);
    const feed = this.#services.get(ServiceName.TableFeed);
    const deadlineAtMs = clock.nowMs() + copies.waitMs;
    for (;;) {
      const seenCount = feed.changed.notifyCount;
      const updates = feed.updatesAfter(copies.versions);
      const remainingMs = deadlineAtMs - clock.nowMs();
      if (hasChanges(updates)) return this.#createAnswer(copies, updates);
      if (feed.isCutOff()) return undefined;
      if (remainingMs <= 0) return this.#createAnswer(copies, updates);
      await feed.changed.waitAtMost(clock, {
        durationMs: remainingMs,
        seenCount,
        signal: this.#signal,
      });
    }
  }
}

function hasChanges(updates: TableUpdates): boolean {
  return [...updates.values()]
    .some(({ isSnapshot, changes }) => isSnapshot || changes.length > 0);
}

/** Sends an encoded answer, or says that this daemon's copies are too old. */
function sendAnswer(
  response: ServerResponse,
  answer: Uint8Array | undefined,
): void {
  if (answer === undefined) response.writeHead(statusStale).end();
  else response.writeHead(statusOk).end(answer);
}
