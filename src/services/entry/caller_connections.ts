/**
 * The exchanges in progress on each caller's connection. Decides whether input
 * that the HTTP parser rejected can be answered, or whether the caller would
 * take the refusal for the answer to an earlier request.
 */
import type { Duplex } from "node:stream";
import { STATUS_CODES } from "node:http";
import { MessageCode } from "../../diagnostics/messages.ts";
import { RouterError } from "../../types/errors.ts";
import type { HttpExchange } from "../peers/forward_handler.ts";
import { encodeRefusal } from "./refusal.ts";

const headerOverflowCode = "HPE_HEADER_OVERFLOW";
const timeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";
const parserCodePrefix = "HPE_";

/** An error as Node's HTTP server reports it. */
export interface ParserError extends Error {
  readonly code?: string;
  /** The parser's description of the error, which quotes no input. */
  readonly reason?: string;
}

/** The exchanges in progress, by connection. */
export class CallerConnections {
  readonly #exchanges = new WeakMap<Duplex, Set<HttpExchange>>();
  readonly #refusedSockets = new WeakSet<Duplex>();
  readonly #newestExchanges = new WeakMap<Duplex, HttpExchange>();
  readonly #closingSockets = new WeakSet<Duplex>();

  add(exchange: HttpExchange): void {
    const { socket } = exchange.request;
    this.#newestExchanges.set(socket, exchange);
    const existing = this.#exchanges.get(socket);
    if (existing !== undefined) existing.add(exchange);
    else this.#exchanges.set(socket, new Set([exchange]));
  }

  remove(exchange: HttpExchange): void {
    this.#exchanges.get(exchange.request.socket)?.delete(exchange);
  }

  /**
   * Lets the answer of an exchange close its connection, unless requests behind
   * it were taken; returns whether it does. No request is taken after that.
   */
  tryCloseAfter(exchange: HttpExchange): boolean {
    const { socket } = exchange.request;
    if (this.#newestExchanges.get(socket) !== exchange) return false;
    this.#closingSockets.add(socket);
    return true;
  }

  /** Whether an answer that closes the connection is being written. */
  isClosing(socket: Duplex): boolean {
    return this.#closingSockets.has(socket);
  }

  /** Whether the connection was refused; the refusal is recorded already. */
  isRefused(exchange: HttpExchange): boolean {
    return this.#refusedSockets.has(exchange.request.socket);
  }

  /**
   * Refuses input that the parser rejected and closes the connection. While an
   * earlier request has no complete answer, destroys the connection instead,
   * so that the caller sees a broken answer and not a wrong one.
   */
  refuse(
    socket: Duplex,
    { failure, requestId }: {
      readonly failure: RouterError;
      readonly requestId: string;
    },
  ): void {
    this.#refusedSockets.add(socket);
    const exchanges = [...this.#exchanges.get(socket) ?? []];
    const isAnswerPending = exchanges.some(({ request }) => request.complete);
    if (isAnswerPending || !socket.writable) return void socket.destroy();
    socket.end(formatRawRefusal(failure, requestId), () => socket.destroy());
  }
}

/** Translates a parser error; undefined for errors of the connection itself. */
export function tryTranslateParserError(
  error: ParserError,
  maxHeaderBytes: number,
): RouterError | undefined {
  const { code = "" } = error;
  if (code === timeoutCode) {
    return new RouterError(MessageCode.RequestTimeout, "read request");
  }
  if (code === headerOverflowCode) {
    return new RouterError(MessageCode.HeadersTooLarge, "read head", {
      detail: `${maxHeaderBytes} bytes`,
    });
  }
  if (!code.startsWith(parserCodePrefix)) return undefined;
  return new RouterError(MessageCode.RequestMalformed, "parse request", {
    detail: error.reason ?? "invalid HTTP",
  });
}

function formatRawRefusal(failure: RouterError, requestId: string): string {
  const { status, headers, body } = encodeRefusal(failure, requestId);
  const lines = Object.entries({ ...headers, connection: "close" })
    .map(([name, value]) => `${name}: ${value}`);
  const statusLine = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? "Refused"}`;
  return [statusLine, ...lines, "", body].join("\r\n");
}
