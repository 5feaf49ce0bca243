/**
 * Simulates a backend server over HTTP: checks grants, executes requests in
 * slots, sheds requests when its queue is full, and records its executions.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { text } from "node:stream/consumers";
import { setTimeout as delay } from "node:timers/promises";
import { isFinalStatus } from "../../src/host/final_status.ts";
import { FakeKeyServer } from "../../src/testing/fake_key_servers.ts";
import type { HoldMonitor } from "../../src/testing/hold_monitor.ts";
import { assertNever } from "../../src/types/errors.ts";
import { keyCount, type ServerEntry } from "../../src/types/routing.ts";

const statusOk = 200;
const statusInternalError = 500;
const statusUnavailable = 503;
const statusConflict = 409;
const statusWrongServer = 421;
const queueCapacity = 12;
/** Range of the delay after which a late grant is carried out. */
const lateGrantDelayMs = { min: 2_000, max: 8_000 };
const allKeys = Array.from({ length: keyCount }, (_, key) => key);

/** A fault of the server. */
export enum ServerFault {
  None = "none",
  /** Executes requests and resets the connection without an answer. */
  LosesAnswers = "loses-answers",
  /** Executes requests and answers with the status `failureStatus`. */
  Fails = "fails",
  /** Sends part of an answer and resets the connection. */
  BreaksOff = "breaks-off",
  /** Sends part of an answer without a length and resets the connection after `breakOffDelayMs`. */
  BreaksOffWithoutLength = "breaks-off-without-length",
  /** Sends bytes that are not an HTTP response. */
  Garbles = "garbles",
  /** Sends a second answer after the first. */
  AnswersTwice = "answers-twice",
  /** Refuses every request as if the queue were full. */
  Sheds = "sheds",
  /** Does not answer grants and carries them out seconds later. */
  GrantsLate = "grants-late",
  /** Refuses every other request although it reports free slots. */
  ShedsWithRoom = "sheds-with-room",
  /** Refuses every request and asks for a pause. */
  Pauses = "pauses",
  /** Refuses every request as soon as its head has arrived. */
  RefusesEarly = "refuses-early",
  /** Reads no body and answers nothing. */
  ReadsNothing = "reads-nothing",
}

/** One execution of a request. */
export interface Execution {
  readonly requestId: string;
  readonly key: number | undefined;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** Options of a stand-in. */
export interface KeyServerStandinOptions {
  readonly serviceTimeMs: number;
  readonly isSharded: boolean;
  /** The keys whose holds are tracked; all keys when omitted. */
  readonly keys?: readonly number[];
  /** Receives each grant that the server accepts. */
  readonly monitor?: HoldMonitor;
  /** Ratio of the actual to the granted duration of a hold, for a slow clock; 1 when omitted. */
  readonly clockFactor?: number;
  /** The server is cold at its start, and crashes above its cold rate. */
  readonly coldStart?: ColdStart;
}

/** How a cold server behaves. */
export interface ColdStart {
  readonly durationMs: number;
  /** Requests that it takes in any second. */
  readonly requestsPerSecond: number;
  /** Called when more requests arrive in a second. */
  readonly onOverload: (requestCount: number) => void;
}

/** The HTTP server of one simulated backend server. */
export class KeyServerStandin {
  readonly server: Server;
  readonly executions: Execution[] = [];
  fault = ServerFault.None;
  /** Status of the answers of a server that fails; it may be none of HTTP's. */
  failureStatus = statusInternalError;
  /** How long the connection of a broken-off answer without a length stays open. */
  breakOffDelayMs = 20;
  /** Number of bytes that are added to each answer. */
  paddingBytes = 0;
  /** Whether the answers announce that the server is about to stop. */
  isLeaving = false;
  /** Length of the pause that the server asks for. */
  pauseSeconds = 2;
  /** Number of requests that have arrived, health checks and key commands excluded. */
  arrivalCount = 0;
  /** Number of connections that were opened. */
  connectionCount = 0;
  readonly keyServer: FakeKeyServer;
  readonly #entry: ServerEntry;
  readonly #options: KeyServerStandinOptions;
  readonly #sockets = new Set<Socket>();
  readonly #startedAtMs = performance.now();
  /** Arrivals of requests while the server is cold. */
  readonly #coldArrivalsAtMs: number[] = [];
  #padding: Buffer = Buffer.alloc(0);
  #busyCount = 0;
  #waiting: (() => void)[] = [];

  constructor(entry: ServerEntry, options: KeyServerStandinOptions) {
    this.#entry = entry;
    this.keyServer = new FakeKeyServer(entry, options.keys ?? allKeys);
    this.#options = options;
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.server.on("connection", (socket) => {
      this.connectionCount += 1;
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  /** How much longer the server is cold. */
  get coldLeftMs(): number {
    const durationMs = this.#options.coldStart?.durationMs ?? 0;
    return Math.max(0, this.#startedAtMs + durationMs - performance.now());
  }

  /** Simulates a crash of the process: drops all holds and closes all connections. */
  crash(): void {
    this.keyServer.isUp = false;
    this.server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.isLeaving) response.setHeader("server-leaving", "1");
    if (this.fault === ServerFault.RefusesEarly && request.url !== "/healthz") {
      this.arrivalCount += 1;
      return this.#refuse(request, response);
    }
    if (this.fault === ServerFault.ReadsNothing && request.url !== "/healthz") {
      this.arrivalCount += 1;
      return;
    }
    const body = await text(request);
    if (request.url === "/healthz") {
      return void response.writeHead(statusOk, {
        "x-instance-id": this.#entry.id,
        "x-cold-ms": String(Math.ceil(this.coldLeftMs)),
      }).end();
    }
    const target = request.headers["x-target-instance"];
    if (target !== undefined && target !== this.#entry.id) {
      return void response.writeHead(statusWrongServer, {
        "x-instance-id": this.#entry.id,
      }).end();
    }
    if (request.url === "/api/grant") return this.#grant(response, body);
    if (request.url === "/api/release") return this.#release(response, body);
    await this.#run(request, response, body);
  }

  #grant(response: ServerResponse, body: string): void {
    const { monitor, clockFactor = 1 } = this.#options;
    const command = JSON.parse(body) as {
      readonly from: number;
      readonly to: number;
      readonly fence: number;
      readonly hold_ms: number;
    };
    const grant = {
      first: command.from,
      last: command.to,
      fence: command.fence,
      holdMs: command.hold_ms,
      handoverToken: undefined,
    };
    const endsAtMs = performance.now() + command.hold_ms * clockFactor;
    const accept = (): boolean => {
      if (!this.keyServer.isUp || !this.keyServer.accept(grant, endsAtMs)) {
        return false;
      }
      const nowMs = performance.now();
      if (endsAtMs > nowMs) monitor?.checkGrant(this.keyServer, grant, nowMs);
      return true;
    };
    if (this.fault === ServerFault.GrantsLate) {
      const { min, max } = lateGrantDelayMs;
      setTimeout(accept, min + (max - min) * Math.random());
      return;
    }
    response.writeHead(accept() ? statusOk : statusConflict).end();
  }

  #release(response: ServerResponse, body: string): void {
    const { from, to } = JSON.parse(body) as { from: number; to: number };
    const nowMs = performance.now();
    this.keyServer.release(
      { first: from, last: to },
      { nowMs, endsAtMs: nowMs },
    );
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
    this.arrivalCount += 1;
    if (this.fault === ServerFault.Pauses) {
      response.setHeader("retry-after", String(this.pauseSeconds));
      return this.#refuse(request, response);
    }
    if (this.#options.isSharded && !this.#holds(key)) {
      return void response.writeHead(statusWrongServer, {
        ...headers,
        "x-not-executed": "1",
      }).end();
    }
    this.#countColdArrival();
    const isShed = this.fault === ServerFault.Sheds;
    if (
      this.fault === ServerFault.ShedsWithRoom && this.arrivalCount % 2 === 1
    ) {
      response.setHeader("x-server-load", `0,0,${this.#entry.slotCount}`);
      return this.#refuse(request, response);
    }
    if (isShed || !(await this.#acquireSlot())) {
      return this.#refuse(request, response);
    }
    this.executions.push({
      requestId: String(requestId),
      key,
      method: request.method ?? "",
      path: request.url ?? "",
      body,
    });
    await delay(this.#options.serviceTimeMs);
    this.#releaseSlot();
    const load =
      `${this.#busyCount},${this.#waiting.length},${this.#entry.slotCount}`;
    this.#answer(request, response, {
      ...headers,
      "x-response-signature": `${this.#entry.id}:${requestId}`,
      "x-server-load": load,
    });
  }

  #countColdArrival(): void {
    const { coldStart } = this.#options;
    if (coldStart === undefined || this.coldLeftMs === 0) return;
    const nowMs = performance.now();
    this.#coldArrivalsAtMs.push(nowMs);
    const count = this.#coldArrivalsAtMs
      .filter((atMs) => atMs > nowMs - 1_000)
      .length;
    if (count > coldStart.requestsPerSecond) coldStart.onOverload(count);
  }

  #refuse({ headers }: IncomingMessage, response: ServerResponse): void {
    response.writeHead(statusUnavailable, {
      "x-request-id": headers["x-request-id"] ?? "",
      "x-not-executed": "1",
    }).end();
  }

  #answer(
    { socket, headers }: IncomingMessage,
    response: ServerResponse,
    fields: Readonly<Record<string, string>>,
  ): void {
    const padding = ".".repeat(this.paddingBytes);
    const body = `answer to ${headers["x-request-id"]}${padding}`;
    const { fault } = this;
    switch (fault) {
      case ServerFault.LosesAnswers:
        return void socket.resetAndDestroy();
      case ServerFault.Garbles:
        return void socket.end("HTTP/1.1 garbled\r\n\r\n");
      case ServerFault.BreaksOff:
        response.writeHead(statusOk, {
          ...fields,
          "content-length": body.length,
        });
        response.write(body.slice(0, -2));
        return void setTimeout(() => socket.resetAndDestroy(), 1);
      case ServerFault.BreaksOffWithoutLength:
        response.useChunkedEncodingByDefault = false;
        response.writeHead(statusOk, fields).write(body.slice(0, -2));
        return void setTimeout(
          () => socket.resetAndDestroy(),
          this.breakOffDelayMs,
        );
      case ServerFault.Fails:
        return this.#fail(response, fields, body);
      case ServerFault.AnswersTwice:
        response.writeHead(statusOk, fields).end(body);
        socket.write(
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
        );
        return;
      case ServerFault.None:
      case ServerFault.Sheds:
      case ServerFault.ShedsWithRoom:
      case ServerFault.Pauses:
      case ServerFault.RefusesEarly:
      case ServerFault.ReadsNothing:
      case ServerFault.GrantsLate:
        if (this.paddingBytes > 0) {
          return this.#answerLong(response, fields, body);
        }
        return void response.writeHead(statusOk, fields).end(body);
      default:
        assertNever(fault);
    }
  }

  #fail(
    response: ServerResponse,
    fields: Readonly<Record<string, string>>,
    body: string,
  ): void {
    const status = this.failureStatus;
    if (isFinalStatus(status)) {
      return void response.writeHead(status, fields).end(body);
    }
    // Node writes no other status.
    const head = Object.entries({ ...fields, "content-length": body.length })
      .map(([name, value]) => `${name}: ${value}\r\n`).join("");
    const statusText = String(status).padStart(3, "0");
    response.socket?.end(`HTTP/1.1 ${statusText} Failed\r\n${head}\r\n${body}`);
  }

  /** Adds a padding that all answers share, so that many long ones occupy little memory here. */
  #answerLong(
    response: ServerResponse,
    fields: Readonly<Record<string, string>>,
    body: string,
  ): void {
    if (this.#padding.length !== this.paddingBytes) {
      this.#padding = Buffer.alloc(this.paddingBytes, ".");
    }
    const start = body.slice(0, -this.paddingBytes);
    response.writeHead(statusOk, { ...fields, "content-length": body.length });
    response.write(start);
    response.end(this.#padding);
  }

  #holds(key: number | undefined): boolean {
    return key !== undefined && this.keyServer.holds(key, performance.now());
  }

  async #acquireSlot(): Promise<boolean> {
    if (this.#busyCount < this.#entry.slotCount) {
      this.#busyCount += 1;
      return true;
    }
    if (this.#waiting.length >= queueCapacity) return false;
    await new Promise<void>((resolve) => this.#waiting.push(resolve));
    return true;
  }

  #releaseSlot(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#busyCount -= 1;
    else next();
  }
}
