/**
 * A backend server on loopback. It reads whole requests, runs each one, and
 * answers as the protocol says; how an answer is written is left to the case.
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { host } from "./deployment.ts";
import type { Record } from "./record.ts";

/** A request that has arrived whole. */
export interface ArrivedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly key: string | undefined;
  readonly body: Buffer;
  readonly timeoutMs: number;
}

export type Answerer = (
  request: ArrivedRequest,
  exchange: {
    readonly response: ServerResponse;
    readonly socket: Socket;
    /** Headers that every answer of a backend server has. */
    readonly headers: Readonly<{ [name: string]: string }>;
  },
) => Promise<void> | void;

/** A sound backend server of a service without keys. */
export class Upstream {
  readonly id: string;
  /** The requests that were run, in order. */
  readonly run: ArrivedRequest[] = [];
  readonly #server: Server;
  readonly #record: Record;
  readonly #answer: Answerer;
  readonly #slotCount: number;
  #runningCount = 0;

  constructor(
    options: {
      readonly id: string;
      readonly record: Record;
      readonly answer: Answerer;
      readonly slotCount?: number;
    },
  ) {
    this.id = options.id;
    this.#record = options.record;
    this.#answer = options.answer;
    this.#slotCount = options.slotCount ?? 3;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch((error) => {
        this.#record.note(`server ${this.id}: ${error}`);
        response.destroy();
      });
    });
    this.#server.keepAliveTimeout = 20_000;
  }

  /** Starts to listen; returns the address. */
  async listen(): Promise<string> {
    this.#server.listen(0, host);
    await once(this.#server, "listening");
    return `${host}:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const { headers } = request;
    const load = () => `${this.#runningCount},0,${this.#slotCount}`;
    if (request.url === "/healthz") {
      return void response.writeHead(200, {
        "x-instance-id": this.id,
        "x-server-load": load(),
      }).end();
    }
    const id = String(headers["x-request-id"]);
    const target = headers["x-target-instance"];
    if (target !== undefined && target !== this.id) {
      return void response.writeHead(421, {
        "x-request-id": id,
        "x-not-executed": "1",
      }).end();
    }
    const arrived: ArrivedRequest = {
      id,
      method: request.method ?? "",
      path: request.url ?? "",
      key: headers["x-shard-key"]?.toString(),
      body: Buffer.concat(chunks),
      timeoutMs: Number(headers["x-timeout-ms"]),
    };
    this.run.push(arrived);
    this.#record.note(
      `server ${this.id} runs ${arrived.method} ${arrived.path} ${id}`,
    );
    this.#runningCount += 1;
    response.once("close", () => this.#runningCount -= 1);
    await this.#answer(arrived, {
      response,
      socket: request.socket,
      headers: {
        "x-request-id": id,
        "x-response-signature": `${this.id}.${id}`,
        "x-server-load": load(),
      },
    });
  }
}
