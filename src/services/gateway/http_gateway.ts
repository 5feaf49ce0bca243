/**
 * The listeners for callers and for the platform's readiness checks. One task
 * for each request: read it, find its route, dispatch it, answer it.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Duplex } from "node:stream";
import { Server as NetServer, type Socket } from "node:net";
import { LogEvent } from "../../diagnostics/log_events.ts";
import { listen } from "../../host/listen.ts";
import { fromPromise } from "neverthrow";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { CallerLimits, Route } from "../../types/routing.ts";
import type { RoutedCall } from "../dispatch/dispatch.ts";
import { CounterName } from "../metrics/metrics.ts";
import {
  AnswerWriter,
  statusUnavailable,
  usualRetryMs,
} from "./answer_writer.ts";
import { CallerConnection } from "./caller_connection.ts";
import type { Exchange, Refusal } from "./exchange.ts";
import { Gateway } from "./gateway.ts";
import { isReady } from "./is_ready.ts";
import { readBody } from "./read_body.ts";
import { StallWatch } from "./stall_watch.ts";

/** Limits until the configuration is known. */
const initialLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 67_108_864,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** The parser's bound; the configured one is checked beneath it. */
const parserHeaderBytes = 65_536;
/** How often Node looks for connections whose head is late. */
const lateCheckIntervalMs = 1_000;
/** Time for which callers are accepted after leaving; the balancer needs two checks. */
const leaveNoticeMs = 2_800;
/** Kept free at the end of the grace time, for the end of the process on a slow machine. */
const leaveReserveMs = 800;
/** Pause between looks at the requests in progress. */
const leaveCheckMs = 50;

const statusOk = 200;
const statusNotFound = 404;
const statusBadRequest = 400;
const statusTooLarge = 413;
const statusHeadersTooLarge = 431;

/** Where to listen, and how long leaving may take. */
export interface HttpGatewayOptions {
  readonly callers: { readonly host: string; readonly port: number };
  readonly readiness: { readonly host: string; readonly port: number };
  readonly graceMs: number;
}

/** Accepts callers over HTTP. */
export class HttpGateway extends Gateway {
  readonly #options: HttpGatewayOptions;
  readonly #connections = new WeakMap<Duplex, CallerConnection>();
  readonly #open = new Set<CallerConnection>();
  readonly #stopping = new AbortController();
  #services: ServiceLookup | undefined;
  #callers: Server | undefined;
  #readiness: Server | undefined;
  #activeCount = 0;
  #writer: AnswerWriter | undefined;
  #stalls: StallWatch | undefined;

  constructor(options: HttpGatewayOptions) {
    super();
    this.#options = options;
  }

  override get needs(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.CallerProtocol,
      ServiceName.Routing,
      ServiceName.Directory,
      ServiceName.KeySpace,
      ServiceName.Dispatch,
    ];
  }

  override async start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    this.#writer = new AnswerWriter(services);
    this.#callers = this.#createCallersServer();
    this.#readiness = createServer((request, response) =>
      this.#answerReadiness(request, response)
    );
    void this.#followLimits(services, this.#callers);
    this.#stalls = new StallWatch(services.get(ServiceName.Clock));
    void this.#stalls.run(this.#stopping.signal);
    await Promise.all([
      listen(this.#callers, this.#options.callers),
      listen(this.#readiness, this.#options.readiness),
    ]);
  }

  override async leave(): Promise<void> {
    const clock = this.#services!.get(ServiceName.Clock);
    const leftAtMs = clock.nowMs();
    const endAtMs = leftAtMs + this.#options.graceMs - leaveReserveMs;
    this.#writer!.isLeaving = true;
    await clock.sleep(leaveNoticeMs);
    if (this.#callers !== undefined) stopListening(this.#callers);
    this.#closeIdleConnections();
    while (this.#activeCount > 0 && clock.nowMs() < endAtMs) {
      await clock.sleep(leaveCheckMs);
      this.#closeIdleConnections();
    }
    this.#services!.get(ServiceName.Log).write(LogEvent.CallersLeft, {
      cutOffCount: this.#activeCount,
      tookMs: Math.round(clock.nowMs() - leftAtMs),
    });
  }

  override stop(): Promise<void> {
    this.#stopping.abort();
    for (const server of [this.#callers, this.#readiness]) {
      server?.close();
      server?.closeAllConnections();
    }
    return Promise.resolve();
  }

  #closeIdleConnections(): void {
    for (const connection of this.#open) connection.closeIfIdle();
  }

  #createCallersServer(): Server {
    const server = createServer({
      maxHeaderSize: parserHeaderBytes,
      connectionsCheckingInterval: lateCheckIntervalMs,
      headersTimeout: initialLimits.headerTimeoutMs,
      keepAliveTimeout: initialLimits.idleTimeoutMs,
      requestTimeout: 0,
      noDelay: true,
    });
    server.on("connection", (socket: Socket) => {
      const connection = new CallerConnection(socket);
      this.#connections.set(socket, connection);
      this.#open.add(connection);
      socket.once("close", () => this.#open.delete(connection));
    });
    server.on("request", (request, response) => {
      void this.#serve(request, response);
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      this.#refuseMalformed(error, socket);
    });
    return server;
  }

  /** Keeps the listener's time limits as configured. */
  async #followLimits(services: ServiceLookup, server: Server): Promise<void> {
    const routing = services.get(ServiceName.Routing);
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const { headerTimeoutMs, idleTimeoutMs } = this.#limits();
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs;
      await routing.changed.wait(signal);
    }
  }

  #limits(): CallerLimits {
    return this.#services!.get(ServiceName.Routing).currentTable()?.limits ??
      initialLimits;
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const services = this.#services!;
    const connection = this.#connections.get(request.socket)!;
    if (connection.isClosing) return;
    const exchange: Exchange = {
      request,
      response,
      connection,
      place: connection.admit(),
      arrivedAtMs: services.get(ServiceName.Clock).nowMs(),
    };
    this.#activeCount += 1;
    services.get(ServiceName.Metrics).count(CounterName.RequestsReceived);
    response.once("close", () => {
      connection.pendingCount -= 1;
      this.#activeCount -= 1;
    });
    try {
      await this.#answer(exchange);
    } catch (error) {
      services.get(ServiceName.Log).write(LogEvent.RequestFailed, {
        error: error instanceof Error ? error.stack : String(error),
      });
      response.destroy();
    }
  }

  async #answer(exchange: Exchange): Promise<void> {
    const services = this.#services!;
    const { request, response, connection } = exchange;
    const routing = services.get(ServiceName.Routing);
    const table = routing.currentTable();
    const [path = "/"] = (request.url ?? "/").split("?", 1);
    if (table === undefined) {
      return this.#writer!.refuse(exchange, {
        status: statusUnavailable,
        reason: "the daemon has no configuration yet",
        retryAfterMs: usualRetryMs,
      });
    }
    const host = request.headers.host ?? "";
    const route = routing.tryMatch(host, path);
    if (route === undefined) {
      return this.#writer!.refuse(exchange, {
        status: statusNotFound,
        reason: `no route for ${host}${path}`,
      });
    }
    const refusal = this.#checkBounds(request);
    if (refusal !== undefined) return this.#writer!.refuse(exchange, refusal);
    const read = await fromPromise(readBody(request), String);
    if (connection.left.aborted) return;
    if (read.isErr()) {
      services.get(ServiceName.Log)
        .write(LogEvent.RequestBodyBrokenOff, { reason: read.error });
      return void response.destroy();
    }
    const body = read.value;
    const service = routing.chooseService(route);
    const call = this.#createCall(exchange, { route, service, body });
    if (call === undefined) {
      return this.#writer!.refuse(exchange, {
        status: statusBadRequest,
        reason: "the request has no id, or no key where its service needs one",
      });
    }
    await this.#stalls!.settle();
    const delivery = await services.get(ServiceName.Dispatch).deliver(call);
    this.#writer!.logDelivery(exchange, { call, delivery });
    this.#writer!.writeDelivery(exchange, delivery);
  }

  #checkBounds(request: IncomingMessage): Refusal | undefined {
    const { maxHeaderBytes, maxBodyBytes } = this.#limits();
    const headerBytes = request.rawHeaders
      .reduce((sum, text) => sum + text.length + 2, 0);
    if (headerBytes > maxHeaderBytes) {
      return {
        status: statusHeadersTooLarge,
        reason: `the head exceeds ${maxHeaderBytes} bytes`,
      };
    }
    if (Number(request.headers["content-length"] ?? 0) <= maxBodyBytes) return;
    return {
      status: statusTooLarge,
      reason: `the body exceeds ${maxBodyBytes} bytes`,
    };
  }

  #createCall(
    { request, connection, place, arrivedAtMs }: Exchange,
    { route, service, body }: {
      readonly route: Route;
      readonly service: string;
      readonly body: RoutedCall["body"];
    },
  ): RoutedCall | undefined {
    const services = this.#services!;
    const protocol = services.get(ServiceName.CallerProtocol);
    const facts = protocol.readFacts(request.headers);
    const definition = services.get(ServiceName.Routing).currentTable()
      ?.services.get(service);
    const isSharded = definition?.isSharded ?? false;
    if (facts.requestId === undefined) return undefined;
    if (isSharded && facts.key === undefined) return undefined;
    return {
      requestId: facts.requestId,
      route,
      service,
      key: isSharded ? facts.key : undefined,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: protocol.keepEndToEnd(request.rawHeaders),
      body,
      deadlineAtMs: arrivedAtMs +
        Math.min(route.timeoutMs, facts.timeoutMs ?? Infinity),
      callerLeft: connection.left,
      mayEndConnection: () => connection.mayCloseBehind(place),
    };
  }

  #refuseMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
    const connection = this.#connections.get(socket);
    const isAnswerOwed = (connection?.pendingCount ?? 0) > 0;
    const isMalformed = error.code?.startsWith("HPE_") ?? false;
    if (!isMalformed || isAnswerOwed || !socket.writable) {
      return void socket.destroy();
    }
    this.#services!.get(ServiceName.Log).write(LogEvent.RequestMalformed, {
      reason: error.message,
    });
    socket.end(
      "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n" +
        "Content-Length: 0\r\n\r\n",
    );
  }

  #answerReadiness(request: IncomingMessage, response: ServerResponse): void {
    const { readinessPath } = this.#services!.get(ServiceName.CallerProtocol);
    const isAsked = request.url === readinessPath;
    const status = !isAsked
      ? statusNotFound
      : !this.#writer!.isLeaving && isReady(this.#services!)
      ? statusOk
      : statusUnavailable;
    response.writeHead(status, { "Content-Length": "0" }).end();
  }
}

/** Accepts no more connections; an HTTP server's own `close` would cut answers short. */
function stopListening(server: Server): void {
  NetServer.prototype.close.call(server);
}
