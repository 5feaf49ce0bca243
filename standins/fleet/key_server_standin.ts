/**
 * A backend server in small, over HTTP: checks grants, runs requests in slots,
 * sheds what it cannot queue, and keeps a list of what it ran.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { text } from "node:stream/consumers";
import { setTimeout as delay } from "node:timers/promises";
import { FakeKeyServer } from "../../src/testing/fake_key_servers.ts";
import { keyCount, type ServerEntry } from "../../src/types/routing.ts";

const statusOk = 200;
const statusBusy = 503;
const statusConflict = 409;
const statusWrongServer = 421;
const queueCapacity = 12;
const allKeys = Array.from({ length: keyCount }, (_, key) => key);

/** What the server does wrong. */
export enum ServerFault {
  None = "none",
  /** Runs requests and resets the connection. */
  LosesAnswers = "loses-answers",
  /** Answers with status 500. */
  Fails = "fails",
}

/** One run of a request. */
export interface Run {
  readonly requestId: string;
  readonly key: number | undefined;
  readonly path: string;
  readonly body: string;
}

/** One stand-in. */
export class KeyServerStandin {
  readonly server: Server;
  readonly runs: Run[] = [];
  fault = ServerFault.None;
  /** Bytes that are added to each answer. */
  paddingBytes = 0;
  readonly #entry: ServerEntry;
  readonly #keys: FakeKeyServer;
  readonly #workMs: number;
  readonly #isSharded: boolean;
  #busyCount = 0;
  #waiting: (() => void)[] = [];

  constructor(
    entry: ServerEntry,
    options: { readonly workMs: number; readonly isSharded: boolean },
  ) {
    this.#entry = entry;
    this.#keys = new FakeKeyServer(entry, allKeys);
    this.#workMs = options.workMs;
    this.#isSharded = options.isSharded;
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await text(request);
    if (request.url === "/healthz") {
      return void response.writeHead(statusOk, {
        "x-instance-id": this.#entry.id,
      }).end();
    }
    const target = request.headers["x-target-instance"];
    if (target !== undefined && target !== this.#entry.id) {
      return void response.writeHead(statusWrongServer).end();
    }
    if (request.url === "/api/grant") return this.#grant(response, body);
    if (request.url === "/api/release") return this.#release(response, body);
    await this.#run(request, response, body);
  }

  #grant(response: ServerResponse, body: string): void {
    const wire = JSON.parse(body) as {
      readonly from: number;
      readonly to: number;
      readonly fence: number;
      readonly hold_ms: number;
    };
    const isAccepted = this.#keys.accept({
      first: wire.from,
      last: wire.to,
      fence: wire.fence,
      holdMs: wire.hold_ms,
      handoverToken: undefined,
    }, performance.now() + wire.hold_ms);
    response.writeHead(isAccepted ? statusOk : statusConflict).end();
  }

  #release(response: ServerResponse, body: string): void {
    const { from, to } = JSON.parse(body) as { from: number; to: number };
    this.#keys.release({ first: from, last: to });
    response.writeHead(statusOk, { "x-handover": `${from}-${to}` }).end();
  }

  async #run(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const { "x-request-id": requestId, "x-shard-key": keyText } =
      request.headers;
    const key = keyText === undefined ? undefined : Number(keyText);
    const headers = { "x-request-id": String(requestId) };
    if (this.#isSharded && !this.#holds(key)) {
      return void response.writeHead(statusWrongServer, {
        ...headers,
        "x-not-executed": "1",
      }).end();
    }
    if (!(await this.#takeSlot())) {
      return void response.writeHead(statusBusy, {
        ...headers,
        "x-not-executed": "1",
      }).end();
    }
    this.runs.push({
      requestId: String(requestId),
      key,
      path: request.url ?? "",
      body,
    });
    await delay(this.#workMs);
    this.#freeSlot();
    if (this.fault === ServerFault.LosesAnswers) {
      return void request.socket.resetAndDestroy();
    }
    const status = this.fault === ServerFault.Fails ? 500 : statusOk;
    const load =
      `${this.#busyCount},${this.#waiting.length},${this.#entry.slotCount}`;
    response.writeHead(status, {
      ...headers,
      "x-response-signature": `${this.#entry.id}:${requestId}`,
      "x-server-load": load,
    });
    response.end(`answer to ${requestId}${".".repeat(this.paddingBytes)}`);
  }

  #holds(key: number | undefined): boolean {
    return key !== undefined && this.#keys.holds(key, performance.now());
  }

  async #takeSlot(): Promise<boolean> {
    if (this.#busyCount < this.#entry.slotCount) {
      this.#busyCount += 1;
      return true;
    }
    if (this.#waiting.length >= queueCapacity) return false;
    await new Promise<void>((resolve) => this.#waiting.push(resolve));
    return true;
  }

  #freeSlot(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#busyCount -= 1;
    else next();
  }
}
