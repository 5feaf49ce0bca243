/** A caller on a socket of its own, which sees how its connection ends. */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { host, routeHost } from "./deployment.ts";

/** A request as a caller sends it. */
export interface ClientRequest {
  readonly method: string;
  readonly path: string;
  readonly id: string;
  readonly timeoutMs: number;
  readonly key?: number;
  readonly body?: string;
  /** Value of a header that is passed on. */
  readonly cookie?: string;
}

/** Writes a request in the form of HTTP/1.1. */
export function encodeRequest(request: ClientRequest): string {
  const { method, path, id, timeoutMs, key, body, cookie } = request;
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${routeHost}`,
    `X-Request-Id: ${id}`,
    `X-Timeout-Ms: ${timeoutMs}`,
  ];
  if (key !== undefined) lines.push(`X-Shard-Key: ${key}`);
  if (cookie !== undefined) lines.push(`Cookie: ${cookie}`);
  if (body !== undefined) lines.push(`Content-Length: ${body.length}`);
  return `${lines.join("\r\n")}\r\n\r\n${body ?? ""}`;
}

/** How a connection ended. */
export enum ConnectionEnd {
  Open = "open",
  /** The other side closed it in order. */
  Closed = "closed",
  Reset = "reset",
}

/** One connection, with all bytes that have arrived on it. */
export class RawClient {
  readonly #socket: Socket;
  readonly #chunks: Buffer[] = [];
  end = ConnectionEnd.Open;
  endedAtMs: number | undefined;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on("data", (chunk) => this.#chunks.push(chunk));
    socket.on("error", () => this.#noteEnd(ConnectionEnd.Reset));
    // A reset that is read together with the last bytes is reported like an
    // orderly end, but the connection then has no peer any more.
    socket.on("end", () => {
      const isReset = socket.remotePort === undefined;
      this.#noteEnd(isReset ? ConnectionEnd.Reset : ConnectionEnd.Closed);
    });
    socket.on("close", () => this.#noteEnd(ConnectionEnd.Reset));
  }

  static async connect(port: number): Promise<RawClient> {
    const socket = connect({ port, host });
    await once(socket, "connect");
    socket.setNoDelay(true);
    return new RawClient(socket);
  }

  write(text: string): void {
    this.#socket.write(text);
  }

  /** What has arrived until now. */
  get received(): Buffer {
    return Buffer.concat(this.#chunks);
  }

  get receivedBytes(): number {
    return this.#chunks.reduce((sum, { length }) => sum + length, 0);
  }

  /** Stops reading, as a slow caller does. */
  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  /** Waits until the connection has ended, or a time has passed. */
  async waitForEnd(limitMs: number): Promise<void> {
    await waitUntil(() => this.end !== ConnectionEnd.Open, limitMs);
  }

  close(): void {
    this.#socket.destroy();
  }

  #noteEnd(end: ConnectionEnd): void {
    if (this.end !== ConnectionEnd.Open) return;
    this.end = end;
    this.endedAtMs = performance.now();
  }
}

const pollMs = 10;

/** Waits for a condition; returns false if it doesn't come in time. */
export async function waitUntil(
  condition: () => boolean,
  limitMs: number,
): Promise<boolean> {
  const endsAtMs = performance.now() + limitMs;
  while (!condition()) {
    if (performance.now() >= endsAtMs) return false;
    await delay(pollMs);
  }
  return true;
}

/** The head and the body of an answer that fills a whole connection. */
export interface RawAnswer {
  readonly status: number;
  readonly head: string;
  readonly body: Buffer;
}

/** Splits the first answer; undefined before its head is complete. */
export function splitAnswer(bytes: Buffer): RawAnswer | undefined {
  const end = bytes.indexOf("\r\n\r\n");
  if (end === -1) return undefined;
  const head = bytes.subarray(0, end).toString("latin1");
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1]);
  return { status, head, body: bytes.subarray(end + 4) };
}
