/** A caller on one connection, which sees each byte that the daemon sends. */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { callerHost, host } from "./deployment.ts";

/** A request to send. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** A text for a number that JavaScript can't hold. */
  readonly timeoutMs: number | string;
  readonly key?: number;
  readonly body?: string;
}

/** An answer, as the rules of HTTP/1.1 delimit it. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  /** Whether the end of the body was reached. */
  readonly isComplete: boolean;
}

/** How a connection ended. */
export enum ConnectionEnd {
  Open = "open",
  /** An orderly end, which marks the end of an answer without a length. */
  Closed = "closed",
  Reset = "reset",
}

/** One connection of a caller. */
export class CallerConnection {
  readonly #socket: Socket;
  readonly #chunks: Buffer[] = [];
  end = ConnectionEnd.Open;
  receivedBytes = 0;

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.on("data", (chunk: Buffer) => {
      this.#chunks.push(chunk);
      this.receivedBytes += chunk.length;
    });
    socket.on("error", () => this.end = ConnectionEnd.Reset);
    socket.on("end", () => {
      if (this.end === ConnectionEnd.Open) this.end = ConnectionEnd.Closed;
    });
  }

  static async open(port: number): Promise<CallerConnection> {
    const socket = connect(port, host);
    socket.setNoDelay(true);
    await once(socket, "connect");
    return new CallerConnection(socket);
  }

  send(...requests: readonly CallerRequest[]): void {
    this.#socket.write(requests.map(encodeRequest).join(""));
  }

  /** Reads steadily, at a rate, until the connection ends. */
  readSlowly(bytesPerSecond: number): void {
    const intervalMs = 50;
    const bytesPerInterval = bytesPerSecond * intervalMs / 1_000;
    let allowedBytes = 0;
    this.#socket.on("data", (chunk: Buffer) => {
      allowedBytes -= chunk.length;
      if (allowedBytes <= 0) this.#socket.pause();
    });
    this.#socket.pause();
    const timer = setInterval(() => {
      allowedBytes += bytesPerInterval;
      if (allowedBytes > 0) this.#socket.resume();
    }, intervalMs);
    this.#socket.once("close", () => clearInterval(timer));
  }

  /** Waits until the daemon ends the connection; false if it does not within the time. */
  async waitForEnd(timeoutMs: number): Promise<boolean> {
    if (this.end !== ConnectionEnd.Open) return true;
    return await new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), timeoutMs);
      const finish = () => {
        clearTimeout(timer);
        resolve(true);
      };
      this.#socket.once("end", finish);
      this.#socket.once("error", finish);
    });
  }

  close(): void {
    this.#socket.destroy();
  }

  /** The answers so far; an interim answer is passed over. */
  answers(): CallerAnswer[] {
    const answers: CallerAnswer[] = [];
    let rest: Buffer = Buffer.concat(this.#chunks);
    while (rest.length > 0) {
      const headEnd = rest.indexOf("\r\n\r\n");
      if (headEnd < 0) break;
      const [statusLine = "", ...lines] = rest.subarray(0, headEnd)
        .toString("latin1").split("\r\n");
      const status = Number(statusLine.split(" ")[1]);
      const headers = new Map(lines.map((line) => {
        const colon = line.indexOf(":");
        return [
          line.slice(0, colon).toLowerCase(),
          line.slice(colon + 1).trim(),
        ] as const;
      }));
      rest = rest.subarray(headEnd + 4);
      if (status >= 100 && status < 200) continue;
      const { body, isComplete, next } = this.#readBody(rest, headers);
      answers.push({ status, headers, body, isComplete });
      if (!isComplete) break;
      rest = next;
    }
    return answers;
  }

  #readBody(
    bytes: Buffer,
    headers: ReadonlyMap<string, string>,
  ): {
    readonly body: Buffer;
    readonly isComplete: boolean;
    readonly next: Buffer;
  } {
    const nothing = Buffer.alloc(0);
    const length = headers.get("content-length");
    if (headers.get("transfer-encoding") === "chunked") {
      const parts: Buffer[] = [];
      let rest = bytes;
      for (;;) {
        const lineEnd = rest.indexOf("\r\n");
        const size = parseInt(rest.subarray(0, lineEnd).toString("latin1"), 16);
        if (lineEnd < 0 || rest.length < lineEnd + 4 + size) {
          return {
            body: Buffer.concat(parts),
            isComplete: false,
            next: nothing,
          };
        }
        const start = lineEnd + 2;
        parts.push(rest.subarray(start, start + size));
        rest = rest.subarray(start + size + 2);
        if (size === 0) {
          return { body: Buffer.concat(parts), isComplete: true, next: rest };
        }
      }
    }
    if (length !== undefined) {
      const byteCount = Number(length);
      return {
        body: bytes.subarray(0, byteCount),
        isComplete: bytes.length >= byteCount,
        next: bytes.subarray(byteCount),
      };
    }
    return {
      body: bytes,
      isComplete: this.end === ConnectionEnd.Closed,
      next: nothing,
    };
  }
}

function encodeRequest(request: CallerRequest): string {
  const { id, method, path, timeoutMs, key, body } = request;
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${callerHost}`,
    `X-Request-Id: ${id}`,
    `X-Timeout-Ms: ${timeoutMs}`,
  ];
  if (key !== undefined) lines.push(`X-Shard-Key: ${key}`);
  if (body !== undefined) lines.push(`Content-Length: ${body.length}`);
  return `${lines.join("\r\n")}\r\n\r\n${body ?? ""}`;
}
