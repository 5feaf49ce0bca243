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
  #holds: Hold[] = [];

  constructor(
    options: {
      readonly id: string;
      readonly service: string;
      readonly onRequest: RequestHandler;
    },
  ) {
    this.id = options.id;
    this.service = options.service;
    this.server = createServer((message, response) => {
      this.#handle(message, response, options.onRequest)
        .catch(() => response.destroy());
    });
    // Longer than the daemons keep idle connections.
    this.server.keepAliveTimeout = 15_000;
  }

  async listen(): Promise<void> {
    this.server.listen(0, host);
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
      return this.#release(JSON.parse(body.toString()), response);
    }
    const id = String(message.headers["x-request-id"]);
    const key = message.headers["x-shard-key"];
    if (key !== undefined && !this.holds(Number(key))) {
      return void response.writeHead(421, {
        "x-request-id": id,
        "x-not-executed": "1",
      }).end();
    }
    await onRequest({ id, upstream: this, message, body }, response);
  }

  /** Whether this server holds a key now. */
  holds(key: number): boolean {
    const nowMs = performance.now();
    return this.#holds.some((hold) =>
      hold.first <= key && key <= hold.last && nowMs < hold.endsAtMs
    );
  }

  #grant(command: KeyCommand, response: ServerResponse): void {
    const overlapping = this.#holds.filter((hold) => overlaps(hold, command));
    if (overlapping.some(({ fence }) => fence > command.fence)) {
      return void response.writeHead(409).end();
    }
    this.#cut(command);
    this.#holds.push({
      first: command.from,
      last: command.to,
      fence: command.fence,
      endsAtMs: performance.now() + (command.hold_ms ?? 0),
    });
    response.writeHead(200).end();
  }

  #release(command: KeyCommand, response: ServerResponse): void {
    this.#cut(command);
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
