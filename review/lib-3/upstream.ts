/** A stand-in of a backend server, whose answers to requests a case decides. */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { buffer } from "node:stream/consumers";
import type { RowStoreStandin } from "../../standins/fleet/row_store_standin.ts";
import { host } from "./deployment.ts";

/** A request that has arrived. */
export interface UpstreamRequest {
  readonly id: string;
  readonly upstream: Upstream;
  readonly message: IncomingMessage;
  readonly body: Buffer;
}

/** Answers a request. */
export type RequestHandler = (
  request: UpstreamRequest,
  response: ServerResponse,
) => Promise<void> | void;

interface Hold {
  readonly first: number;
  readonly last: number;
  readonly fence: number;
  readonly endsAtMs: number;
}

/** An accepted grant. */
export interface AcceptedGrant {
  readonly upstream: Upstream;
  readonly first: number;
  readonly last: number;
  readonly fence: number;
  readonly holdMs: number;
}

interface KeyCommand {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  readonly hold_ms?: number;
}

/** An HTTP server that registers itself in the store. */
export class Upstream {
  readonly id: string;
  readonly service: string;
  readonly bornAtMs = Date.now();
  readonly server: Server;
  port = 0;
  readonly #onGrant: ((grant: AcceptedGrant) => void) | undefined;
  /** The requests for keys that are at work. */
  readonly #running = new Set<{ key: number; ended: Promise<void> }>();
  #holds: Hold[] = [];
  /** The commands that this life has carried out; later ones need as high a fence. */
  readonly #seen: KeyCommand[] = [];

  constructor(
    options: {
      readonly id: string;
      readonly service: string;
      readonly onRequest: RequestHandler;
      readonly onGrant?: (grant: AcceptedGrant) => void;
    },
  ) {
    this.id = options.id;
    this.service = options.service;
    this.#onGrant = options.onGrant;
    this.server = createServer((message, response) => {
      this.#handle(message, response, options.onRequest)
        .catch(() => response.destroy());
    });
    // Longer than the daemons keep idle connections.
    this.server.keepAliveTimeout = 15_000;
  }

  /** Listens at a port; any free one by default. */
  async listen(port = 0): Promise<void> {
    this.server.listen(port, host);
    await once(this.server, "listening");
    this.port = (this.server.address() as AddressInfo).port;
  }

  /** Writes this server's entry. */
  register(store: RowStoreStandin, options: {
    readonly isDraining?: boolean;
    readonly slotCount?: number;
  } = {}): void {
    store.writeServer({
      id: this.id,
      bornAtMs: this.bornAtMs,
      service: this.service,
      address: `${host}:${this.port}`,
      zone: "zone-a",
      slotCount: options.slotCount ?? 3,
      isDraining: options.isDraining ?? false,
    });
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  async #handle(
    message: IncomingMessage,
    response: ServerResponse,
    onRequest: RequestHandler,
  ): Promise<void> {
    if (message.url === "/healthz") {
      return void response.writeHead(200, { "x-instance-id": this.id }).end();
    }
    const target = message.headers["x-target-instance"];
    if (target !== undefined && target !== this.id) {
      return void response.writeHead(421, { "x-instance-id": this.id }).end();
    }
    const body = await buffer(message);
    if (message.url === "/api/grant") {
      return this.#grant(JSON.parse(body.toString()), response);
    }
    if (message.url === "/api/release") {
      return await this.#release(JSON.parse(body.toString()), response);
    }
    const id = String(message.headers["x-request-id"]);
    const key = message.headers["x-shard-key"];
    if (key !== undefined && !this.holds(Number(key))) {
      return void response.writeHead(421, {
        "x-request-id": id,
        "x-not-executed": "1",
      }).end();
    }
    const work = Promise.resolve(
      onRequest({ id, upstream: this, message, body }, response),
    );
    const running = { key: Number(key), ended: work };
    this.#running.add(running);
    await work.finally(() => this.#running.delete(running));
  }

  /** Whether this server holds a key now. */
  holds(key: number): boolean {
    return this.fenceOf(key) !== undefined;
  }

  /** The fencing token with which this server holds a key now. */
  fenceOf(key: number): number | undefined {
    const nowMs = performance.now();
    return this.#holds.find((hold) =>
      hold.first <= key && key <= hold.last && nowMs < hold.endsAtMs
    )?.fence;
  }

  #grant(command: KeyCommand, response: ServerResponse): void {
    const isFenced = this.#seen.some((seen) =>
      seen.from <= command.to && command.from <= seen.to &&
      seen.fence > command.fence
    );
    if (isFenced) return void response.writeHead(409).end();
    this.#seen.push(command);
    this.#cut(command);
    const { from: first, to: last, fence, hold_ms: holdMs = 0 } = command;
    const endsAtMs = performance.now() + holdMs;
    this.#holds.push({ first, last, fence, endsAtMs });
    this.#onGrant?.({ upstream: this, first, last, fence, holdMs });
    response.writeHead(200).end();
  }

  /** Stops new work on the keys at once, and answers when the running work has ended. */
  async #release(
    command: KeyCommand,
    response: ServerResponse,
  ): Promise<void> {
    this.#seen.push(command);
    this.#cut(command);
    const running = [...this.#running]
      .filter(({ key }) => command.from <= key && key <= command.to);
    await Promise.allSettled(running.map(({ ended }) => ended));
    response.writeHead(200, { "x-handover": `${this.id}-${command.from}` })
      .end();
  }

  /** Removes the keys of a command from the holds. */
  #cut(command: KeyCommand): void {
    this.#holds = this.#holds.flatMap((hold) =>
      overlaps(hold, command)
        ? [
          { ...hold, last: Math.min(hold.last, command.from - 1) },
          { ...hold, first: Math.max(hold.first, command.to + 1) },
        ].filter(({ first, last }) => first <= last)
        : [hold]
    );
  }
}

function overlaps(
  { first, last }: Hold,
  { from, to }: KeyCommand,
): boolean {
  return first <= to && from <= last;
}
