/**
 * Simulates a caller over HTTP: sends requests on one keep-alive connection and
 * records the answers. The connection is used until the daemon closes it.
 */
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import { connect } from "node:net";
import { Client, request } from "undici";
import { headerNames, paths } from "../../platform/names.ts";

/** Header that only a backend server adds to an answer. */
const signatureHeader = "x-response-signature";
const callerHost = "app.example";
/** Statuses which guarantee that the request has not run and will not run. */
const refusedUnrunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A request and its result, as the caller observed them. */
export interface CallerRecord {
  readonly id: string;
  /** Index of the daemon in the fleet. */
  readonly daemonIndex: number;
  readonly method: string;
  readonly path: string;
  readonly key: number | undefined;
  readonly body: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Undefined if the connection ended without an answer. */
  readonly status: number | undefined;
  readonly answerBody: string;
  readonly signature: string | undefined;
  readonly error: string | undefined;
}

/** A request to send. */
export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  readonly key?: number;
  readonly body?: string;
}

/** Whether the status of an answer guarantees that the request has not run and will not run. */
export function isRefusedUnrun({ status }: CallerRecord): boolean {
  return status !== undefined && refusedUnrunStatuses.has(status);
}

export function isSuccess({ status }: CallerRecord): boolean {
  return status !== undefined && status >= 200 && status < 300;
}

/** Queries the readiness of a daemon, as the platform does. */
export async function isDaemonReady(
  port: number,
  options: { readonly timeoutMs: number },
): Promise<boolean> {
  const { timeoutMs } = options;
  try {
    const answer = await request(`http://127.0.0.1:${port}${paths.readiness}`, {
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    // A daemon that does not answer is not ready.
    return false;
  }
}

/** Sends a confirmation and disconnects without waiting for the answer. */
export async function sendAndDisconnect(
  port: number,
  id: string,
): Promise<void> {
  const socket = connect(port, "127.0.0.1");
  await once(socket, "connect");
  socket.end(
    `POST /pay/confirm HTTP/1.1\r\nHost: ${callerHost}\r\n` +
      `${headerNames.requestId}: ${id}\r\nContent-Length: 1\r\n\r\nx`,
  );
  await once(socket, "finish");
  socket.destroy();
}

/** Sends requests to one daemon on one connection. */
export class CallerStandin {
  readonly #client: Client;
  readonly #daemonIndex: number;
  readonly #timeoutMs: number;

  constructor(
    options: {
      readonly daemonIndex: number;
      readonly port: number;
      readonly timeoutMs: number;
      /** Maximum number of in-flight requests on the connection. */
      readonly pipelining: number;
    },
  ) {
    this.#daemonIndex = options.daemonIndex;
    this.#timeoutMs = options.timeoutMs;
    this.#client = new Client(`http://127.0.0.1:${options.port}`, {
      pipelining: options.pipelining,
      headersTimeout: options.timeoutMs,
      bodyTimeout: options.timeoutMs,
      connectTimeout: options.timeoutMs,
    });
  }

  /** Sends a request and waits for its result; never rejects. */
  async send(request: CallerRequest): Promise<CallerRecord> {
    const id = randomUUID();
    const { method, path, key, body } = request;
    const requestFields = {
      id,
      daemonIndex: this.#daemonIndex,
      method,
      path,
      key,
      body: body ?? "",
      startedAtMs: performance.now(),
    };
    try {
      const answer = await this.#client.request({
        method: method as "GET" | "POST",
        path,
        body: body ?? null,
        // Otherwise the client sends no request before this one is answered.
        blocking: method !== "GET",
        headers: {
          host: callerHost,
          [headerNames.requestId]: id,
          [headerNames.timeout]: String(this.#timeoutMs),
          ...(key === undefined ? {} : { [headerNames.key]: String(key) }),
        },
      });
      const answerBody = await answer.body.text();
      const signature = answer.headers[signatureHeader];
      return {
        ...requestFields,
        endedAtMs: performance.now(),
        status: answer.statusCode,
        answerBody,
        signature: typeof signature === "string" ? signature : undefined,
        error: undefined,
      };
    } catch (error) {
      return {
        ...requestFields,
        endedAtMs: performance.now(),
        status: undefined,
        answerBody: "",
        signature: undefined,
        error: String(error),
      };
    }
  }

  /** Closes the connection; in-flight requests fail. */
  async close(): Promise<void> {
    await this.#client.destroy();
  }
}
