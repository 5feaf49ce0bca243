/**
 * The callers' listener, based on Node's `http`. It only translates HTTP; each
 * request runs through the request pipeline in a task of its own
 * (`http_caller.ts`).
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { LogEvent } from "../../diagnostics/log_events.ts";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { DaemonState } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type { HttpExchange } from "../peers/forward_handler.ts";
import { listen } from "../../host/listen.ts";
import { ActiveTasks } from "./active_tasks.ts";
import {
  CallerConnections,
  tryTranslateParserError,
} from "./caller_connections.ts";
import { Entry } from "./entry.ts";
import { serveCaller } from "./http_caller.ts";
import { sendRefusal } from "./refusal.ts";
import type { RequestBounds } from "./request_reader.ts";
import { tryAnswerStatusPath } from "./status_paths.ts";

/** Settings of the callers' listener. */
export interface HttpEntryOptions extends RequestBounds {
  readonly host: string;
  readonly port: number;
  readonly maxHeaderBytes: number;
  /** Time within which a request must arrive completely. */
  readonly requestTimeoutMs: number;
  /** Open connections from callers; further connections are closed at once. */
  readonly maxCallerConnections: number;
  /**
   * Time between becoming unready, so that the balancer sends no more callers,
   * and refusing new connections.
   */
  readonly drainNoticeMs: number;
  /** Time after which the drain stops waiting for in-flight requests. */
  readonly drainTimeoutMs: number;
}

/** Accepts callers' requests over HTTP. */
export class HttpEntry extends Entry {
  readonly #options: HttpEntryOptions;
  readonly #connections = new CallerConnections();
  readonly #active = new ActiveTasks();
  #server: Server | undefined;
  #services: ServiceLookup | undefined;

  constructor(options: HttpEntryOptions) {
    super();
    this.#options = options;
  }

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Log,
      ServiceName.Ownership,
      ServiceName.Lifecycle,
      ServiceName.RequestPipeline,
    ];
  }

  override port(): number {
    return (this.#server?.address() as AddressInfo | null)?.port ?? 0;
  }

  override async start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    this.#server = this.#createServer();
    await listen(this.#server, this.#options);
  }

  /**
   * Becomes unready, so that the balancer sends no more callers, then closes
   * the listener and waits for the in-flight requests.
   */
  override async drain(): Promise<void> {
    const services = this.#services!;
    const clock = services.get(ServiceName.Clock);
    services.get(ServiceName.Lifecycle).beginDraining();
    await clock.sleep(this.#options.drainNoticeMs);
    this.#server?.close();
    this.#server?.closeIdleConnections();
    const expired = new AbortController();
    await Promise.race([
      this.#active.waitUntilIdle(),
      clock.sleep(this.#options.drainTimeoutMs, expired.signal),
    ]);
    expired.abort();
    if (this.#active.count === 0) return;
    services.get(ServiceName.Log).write(LogEvent.DrainTimeoutPassed, {
      cutOffCount: this.#active.count,
    });
  }

  override stop(): Promise<void> {
    const server = this.#server;
    if (server === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  }

  #createServer(): Server {
    const { requestTimeoutMs, maxHeaderBytes } = this.#options;
    const server = createServer({
      maxHeaderSize: maxHeaderBytes,
      requestTimeout: requestTimeoutMs,
      headersTimeout: requestTimeoutMs,
      connectionsCheckingInterval: Math.ceil(requestTimeoutMs / 2),
      requireHostHeader: false,
      insecureHTTPParser: false,
    });
    server.maxConnections = this.#options.maxCallerConnections;
    server.on("request", (request, response) => {
      void this.#serve({ request, response }, false);
    });
    server.on("checkContinue", (request, response) => {
      void this.#serve({ request, response }, true);
    });
    server.on("checkExpectation", (request, response) => {
      this.#refuseExpectation(request, response);
    });
    server.on("clientError", (error, socket) => {
      const failure = tryTranslateParserError(error, maxHeaderBytes);
      if (failure === undefined) return void socket.destroy();
      const requestId = this.#reject(failure);
      this.#connections.refuse(socket, { failure, requestId });
    });
    return server;
  }

  async #serve(
    exchange: HttpExchange,
    expectsContinue: boolean,
  ): Promise<void> {
    const services = this.#services!;
    const lifecycle = services.get(ServiceName.Lifecycle);
    const { request } = exchange;
    if (this.#connections.isClosing(request.socket)) {
      return void request.resume();
    }
    if (tryAnswerStatusPath(exchange, lifecycle)) return;
    this.#connections.add(exchange);
    this.#active.begin();
    try {
      await serveCaller(exchange, {
        services,
        bounds: this.#options,
        connections: this.#connections,
        expectsContinue,
        closesConnection: () =>
          lifecycle.state() === DaemonState.Draining &&
          this.#connections.tryCloseAfter(exchange),
      });
    } finally {
      this.#active.end();
      this.#connections.remove(exchange);
    }
  }

  #refuseExpectation(request: IncomingMessage, response: ServerResponse): void {
    const failure = new RouterError(
      MessageCode.ExpectationUnsupported,
      "check head",
    );
    const requestId = this.#reject(failure);
    sendRefusal(response, failure, { requestId, closesConnection: true });
    request.resume();
  }

  /** Records a refusal without a request; returns a new request identifier. */
  #reject(failure: RouterError): string {
    const services = this.#services!;
    const requestId = services.get(ServiceName.Random).nextId();
    services.get(ServiceName.RequestPipeline).reject({ requestId }, failure);
    return requestId;
  }
}
