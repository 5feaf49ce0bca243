/**
 * The key granter's side of the exchange: takes in what a daemon has counted,
 * and answers with what has changed in the store, as soon as something has.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import {
  decodeSyncRequest,
  encodeSyncAnswer,
  type SyncAnswer,
} from "./sync_codec.ts";

/** Age up to which the granter's copies are good enough to be passed on: those of a daemon that then reads a slow store itself are less than two seconds old. */
const maxCopyAgeMs = 1_400;
/** A request holds one entry for each busy part of the key space. */
const maxMessageBytes = 1_048_576;
/** Answers that are kept; daemons lag behind by a few changes each. */
const maxEncodedCount = 32;

const statusOk = 200;
const statusBadRequest = 400;
const statusNotGranter = 409;
const statusStale = 503;

/** Answers for one daemon. */
export class SyncResponder {
  readonly #services: ServiceLookup;
  readonly #signal: AbortSignal;
  /** Answers by the versions before and after. */
  readonly #encoded = new Map<string, Uint8Array>();

  /** The signal ends every wait. */
  constructor(services: ServiceLookup, signal: AbortSignal) {
    this.#services = services;
    this.#signal = signal;
  }

  /** Answers one request of a daemon. */
  async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const services = this.#services;
    try {
      const sync = decodeSyncRequest(String(await readBytes(request)));
      if (!services.get(ServiceName.KeyGranter).addLoad(sync.load)) {
        return void response.writeHead(statusNotGranter).end();
      }
      const answer = await this.#waitForUpdates(sync);
      if (answer === undefined) {
        return void response.writeHead(statusStale).end();
      }
      response.writeHead(statusOk).end(answer);
    } catch (error) {
      services.get(ServiceName.Log).write(LogEvent.SyncRequestRefused, {
        peer: request.socket.remoteAddress,
        reason: String(error),
      });
      response.writeHead(statusBadRequest).end();
    }
  }

  /** Encodes once what several daemons lack alike. */
  #encode(
    versions: ReadonlyMap<string, number | undefined>,
    answer: SyncAnswer,
  ): Uint8Array {
    const { updates, isDirectoryComplete } = answer;
    const name = JSON.stringify([
      isDirectoryComplete,
      [...versions],
      [...updates].map(([table, { version }]) => [table, version]),
    ]);
    const known = this.#encoded.get(name);
    if (known !== undefined) return known;
    if (this.#encoded.size >= maxEncodedCount) this.#encoded.clear();
    const encoded = encodeSyncAnswer(answer);
    this.#encoded.set(name, encoded);
    return encoded;
  }

  /** Waits for changes; undefined when this daemon's copies are too old. */
  async #waitForUpdates(
    { versions, waitMs }: ReturnType<typeof decodeSyncRequest>,
  ): Promise<Uint8Array | undefined> {
    const services = this.#services;
    const clock = services.get(ServiceName.Clock);
    const feed = services.get(ServiceName.TableFeed);
    const untilMs = clock.nowMs() + waitMs;
    for (;;) {
      const freshMs = feed.freshForMs(maxCopyAgeMs);
      if (freshMs <= 0) return undefined;
      const seenCount = feed.changed.notifyCount;
      const updates = feed.updatesAfter(versions);
      const hasNews = [...updates.values()]
        .some(({ isWhole, changes }) => isWhole || changes.length > 0);
      const restMs = untilMs - clock.nowMs();
      if (hasNews || restMs <= 0) {
        const isDirectoryComplete = services.get(ServiceName.Directory)
          .isComplete();
        return this.#encode(versions, { updates, isDirectoryComplete });
      }
      await feed.changed.waitAtMost(clock, {
        durationMs: Math.min(restMs, freshMs),
        seenCount,
        signal: this.#signal,
      });
    }
  }
}

/** Reads a message whole; rejects when it is too large. */
export async function readBytes(message: IncomingMessage): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let byteCount = 0;
  for await (const chunk of message as AsyncIterable<Uint8Array>) {
    byteCount += chunk.length;
    if (byteCount > maxMessageBytes) throw new RangeError("message too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
