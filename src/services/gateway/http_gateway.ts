/**
 * The HTTP listeners for callers and for the platform's readiness checks. One
 * task for each request reads it, matches its route, dispatches it and writes
 * the answer.
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
import {
  type CallerLimits,
  defaultCallerLimits,
  type Route,
} from "../../types/routing.ts";
import type { RoutedCall } from "../dispatch/dispatch.ts";
import { CounterName } from "../metrics/metrics.ts";
import {
  AnswerWriter,
  defaultRetryAfterMs,
  statusUnavailable,
} from "./answer_writer.ts";
import { CallerConnection } from "./caller_connection.ts";
import type { Exchange, Refusal } from "./exchange.ts";
import { Gateway } from "./gateway.ts";
import { HeldBodies, MemoryState } from "./held_bodies.ts";
import { isReady } from "./is_ready.ts";
import { createBody } from "./create_body.ts";
import { StallDetector } from "./stall_detector.ts";
import { watchStalls } from "./stall_watch.ts";

/** Header limit of Node's parser; `maxHeaderBytes` is checked after parsing and must be lower. */
const parserHeaderBytes = 65_536;
/** How often Node checks for connections that exceed the header timeout. */
const timeoutCheckIntervalMs = 1_000;
/**
 * Time for which connections and requests are accepted after the readiness check
 * starts to fail; the load balancer needs two checks to notice the failure.
 */
const leaveNoticeMs = 2_800;
/** Part of the grace time that is reserved for the end of the process on a slow machine. */
const leaveReserveMs = 800;
/** Retry delay for a caller whose request this daemon no longer takes; other daemons take it at once. */
const leavingRetryAfterMs = 50;
/** Interval of polling for the end of the in-flight requests. */
const leavePollIntervalMs = 50;

const statusOk = 200;
const statusNotFound = 404;
const statusBadRequest = 400;
const statusTooLarge = 413;
const statusHeadersTooLarge = 431;

/** The refusal of a request for which the daemon has no memory left. */
const outOfMemory: Refusal = {
  status: statusUnavailable,
  reason: "not run: the daemon holds too much for slow readers",
  cause: "memory",
  retryAfterMs: defaultRetryAfterMs,
};

/** The refusal of a request whose turn on its connection came too late. */
const readTooSlowly: Refusal = {
  status: statusUnavailable,
  reason: "not run: the caller read earlier answers too slowly",
  cause: "turn",
  retryAfterMs: defaultRetryAfterMs,
};

/** Listen addresses, and the time that a graceful shutdown may take. */
export interface HttpGatewayOptions {
  readonly callers: { readonly host: string; readonly port: number };
  readonly readiness: { readonly host: string; readonly port: number };
  readonly graceMs: number;
}

/** Accepts callers over HTTP/1.1. */
export class HttpGateway extends Gateway {
  readonly #options: HttpGatewayOptions;
  readonly #connections = new WeakMap<Duplex, CallerConnection>();
  readonly #openConnections = new Set<CallerConnection>();
  readonly #stopping = new AbortController();
  readonly #held = new HeldBodies();
  #services: ServiceLookup | undefined;
  #callerServer: Server | undefined;
  #readinessServer: Server | undefined;
  #isAccepting = true;
  #writer: AnswerWriter | undefined;
  #stallDetector: StallDetector | undefined;

  constructor(options: HttpGatewayOptions) {
    super();
    this.#options = options;
  }

  override get dependencies(): readonly ServiceName[] {
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
    this.#callerServer = this.#createCallerServer();
    this.#readinessServer = createServer((request, response) =>
      this.#answerReadiness(request, response)
    );
    void this.#followLimits(services, this.#callerServer);
    this.#stallDetector = new StallDetector(services.get(ServiceName.Clock));
    void this.#stallDetector.run(this.#stopping.signal);
    void watchStalls(services, {
      connections: this.#openConnections,
      held: this.#held,
      signal: this.#stopping.signal,
    });
    await Promise.all([
      listen(this.#callerServer, this.#options.callers),
      listen(this.#readinessServer, this.#options.readiness),
    ]);
  }

  override async leave(): Promise<void> {
    const clock = this.#services!.get(ServiceName.Clock);
    const startedAtMs = clock.nowMs();
    const endAtMs = startedAtMs + this.#options.graceMs - leaveReserveMs;
    this.#writer!.isLeaving = true;
    await clock.sleep(leaveNoticeMs);
    this.#stopAccepting();
    this.#closeIdleConnections();
    // A connection stays open for a moment after its last answer, so that the
    // end of the process doesn't reset it.
    const isDone = () =>
      this.#held.openRequestCount === 0 && this.#openConnections.size === 0;
    while (!isDone() && clock.nowMs() < endAtMs) {
      await clock.sleep(leavePollIntervalMs);
      this.#closeIdleConnections();
    }
    this.#services!.get(ServiceName.Log).write(LogEvent.CallersDisconnected, {
      cutOffCount: this.#held.openRequestCount,
      tookMs: Math.round(clock.nowMs() - startedAtMs),
    });
  }

  override stop(): Promise<void> {
    this.#stopping.abort();
    for (const connection of this.#openConnections) {
      const { answerEndsWithConnection, pendingCount } = connection;
      if (answerEndsWithConnection && pendingCount > 0) connection.reset();
    }
    for (const server of [this.#callerServer, this.#readinessServer]) {
      server?.close();
      server?.closeAllConnections();
    }
    return Promise.resolve();
  }

  /** Takes no more connections and no more requests; the last answer of each connection closes it. */
  #stopAccepting(): void {
    this.#isAccepting = false;
    if (this.#callerServer !== undefined) stopListening(this.#callerServer);
    for (const connection of this.#openConnections) connection.isClosing = true;
  }

  #closeIdleConnections(): void {
    for (const connection of this.#openConnections) connection.closeIfIdle();
  }

  #createCallerServer(): Server {
    const server = createServer({
      maxHeaderSize: parserHeaderBytes,
      connectionsCheckingInterval: timeoutCheckIntervalMs,
      headersTimeout: defaultCallerLimits.headerTimeoutMs,
      keepAliveTimeout: defaultCallerLimits.idleTimeoutMs,
      requestTimeout: 0,
      noDelay: true,
    });
    server.on("connection", (socket: Socket) => {
      const connection = new CallerConnection(socket, {
        clock: this.#services!.get(ServiceName.Clock),
        answerMemory: this.#held.createConnectionMemory(),
      });
      this.#connections.set(socket, connection);
      this.#openConnections.add(connection);
      socket.once("close", () => this.#openConnections.delete(connection));
    });
    server.on("request", (request, response) => {
      void this.#serve(request, response);
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      this.#refuseMalformed(error, socket);
    });
    return server;
  }

  /** Applies the configured timeouts to the listener whenever they change. */
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
      defaultCallerLimits;
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const services = this.#services!;
    const connection = this.#connections.get(request.socket)!;
    if (connection.isClosing) return void request.resume();
    const body = createBody(request, {
      maxBytes: this.#limits().maxBodyBytes,
      memory: this.#held.requests,
    });
    const exchange: Exchange = {
      request,
      response,
      connection,
      sequenceNumber: connection.addRequest(),
      arrivedAtMs: services.get(ServiceName.Clock).nowMs(),
      answerMemory: this.#held.createHold(connection.answerMemory),
      body,
    };
    let hasTurn = false;
    let isEnded = false;
    this.#held.openRequestCount += 1;
    services.get(ServiceName.Metrics).count(CounterName.RequestsReceived);
    connection.endWith(response, () => {
      isEnded = true;
      // Node destroys only the first of several pipelined answers.
      if (!response.destroyed) response.destroy();
      this.#held.openRequestCount -= 1;
      exchange.answerMemory.releaseAll();
      void body?.discard();
      if (hasTurn) connection.endTurn();
    });
    try {
      if (connection.isOverrun(this.#held.state)) return connection.reset();
      if (this.#held.state === MemoryState.Full) {
        return this.#writer!.refuse(exchange, outOfMemory);
      }
      await connection.waitForTurn();
      if (isEnded) return;
      hasTurn = true;
      await this.#answer(exchange);
    } catch (error) {
      services.get(ServiceName.Log).write(LogEvent.RequestFailed, {
        error: error instanceof Error ? error.stack : String(error),
      });
      response.destroy();
    } finally {
      // What arrived after the caller had left.
      if (isEnded) exchange.answerMemory.releaseAll();
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
        retryAfterMs: defaultRetryAfterMs,
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
    if (route.targets.length === 0) {
      return this.#writer!.refuse(exchange, {
        status: statusUnavailable,
        reason: `the route ${route.host}${route.pathPrefix} is malformed`,
        retryAfterMs: defaultRetryAfterMs,
      });
    }
    const refusal = this.#checkLimits(request);
    if (refusal !== undefined) return this.#writer!.refuse(exchange, refusal);
    let body: RoutedCall["body"];
    if (exchange.body !== undefined) {
      const read = await fromPromise(exchange.body.readAhead(), String);
      if (connection.disconnectSignal.aborted) return;
      if (read.isErr()) {
        services.get(ServiceName.Log)
          .write(LogEvent.RequestBodyTruncated, { reason: read.error });
        return void response.destroy();
      }
      // Too little of the grace time may be left for a body that arrived late.
      if (!this.#isAccepting) {
        return this.#writer!.refuse(exchange, {
          status: statusUnavailable,
          reason: "the daemon is leaving",
          retryAfterMs: leavingRetryAfterMs,
        });
      }
      body = read.value ?? exchange.body;
      if (read.value === undefined) exchange.answerMemory.addStream();
    }
    const service = routing.chooseService(route);
    const call = this.#createCall(exchange, { route, service, body });
    if (call === undefined) {
      return this.#writer!.refuse(exchange, {
        status: statusBadRequest,
        reason: "the request has no id, or no key where its service needs one",
      });
    }
    if (call.deadlineAtMs <= services.get(ServiceName.Clock).nowMs()) {
      return this.#writer!.refuse(exchange, readTooSlowly);
    }
    await this.#stallDetector!.waitForConnectionEnds();
    const delivery = await services.get(ServiceName.Dispatch).deliver(call);
    this.#writer!.logDelivery(exchange, { call, delivery });
    this.#writer!.writeDelivery(exchange, delivery);
  }

  #checkLimits(request: IncomingMessage): Refusal | undefined {
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
    { request, connection, sequenceNumber, arrivedAtMs, answerMemory }:
      Exchange,
    { route, service, body }: {
      readonly route: Route;
      readonly service: string;
      readonly body: RoutedCall["body"];
    },
  ): RoutedCall | undefined {
    const services = this.#services!;
    const protocol = services.get(ServiceName.CallerProtocol);
    const metadata = protocol.decodeMetadata(request.headers);
    const definition = services.get(ServiceName.Routing).currentTable()
      ?.services.get(service);
    const isSharded = definition?.isSharded ?? false;
    if (metadata.requestId === undefined) return undefined;
    if (isSharded && metadata.key === undefined) return undefined;
    return {
      requestId: metadata.requestId,
      route,
      service,
      key: isSharded ? metadata.key : undefined,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: protocol.removeHopByHopHeaders(request.rawHeaders),
      body,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs +
        Math.min(route.timeoutMs, metadata.timeoutMs ?? Infinity),
      callerDeadlineAtMs: arrivedAtMs +
        (metadata.timeoutMs ?? route.timeoutMs),
      disconnectSignal: connection.disconnectSignal,
      answerMemory,
      mayCloseConnection: () => connection.isNewestRequest(sequenceNumber),
    };
  }

  #refuseMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
    const connection = this.#connections.get(socket);
    const isAnswerPending = (connection?.pendingCount ?? 0) > 0;
    const isMalformed = error.code?.startsWith("HPE_") ?? false;
    if (!isMalformed || isAnswerPending || !socket.writable) {
      // A reset, so that an answer without a length doesn't look whole.
      return connection === undefined
        ? void socket.destroy()
        : connection.reset();
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
    const isReadinessPath = request.url === readinessPath;
    const status = !isReadinessPath
      ? statusNotFound
      : !this.#writer!.isLeaving && isReady(this.#services!)
      ? statusOk
      : statusUnavailable;
    response.writeHead(status, { "Content-Length": "0" }).end();
  }
}

/**
 * Stops accepting connections. The `close` of an HTTP server isn't used, since
 * it also closes connections whose answers are still being sent.
 */
function stopListening(server: Server): void {
  NetServer.prototype.close.call(server);
}
