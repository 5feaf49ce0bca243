/**
 * The callers' listener over Node's `http`. Each request is one task: parse,
 * admit, deliver, stream the answer. Decisions live in the admission and
 * delivery services; this file only translates HTTP.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import {
  AttemptOutcome,
  DaemonState,
  ListsFreshness,
} from "../../types/enums.ts";
import { RouterError, toRouterError } from "../../types/errors.ts";
import { CounterName, TimingName } from "../metrics/metrics.ts";
import { type HttpExchange } from "../peers/forward_handler.ts";
import { listen } from "../peers/http_peer_server.ts";
import { Entry } from "./entry.ts";
import { sendRefusal } from "./refusal.ts";
import { readRequest } from "./request_reader.ts";
import { writeBody } from "./write_body.ts";

const healthPath = "/-/health";
const readyPath = "/-/ready";
const statusOk = 200;
const statusUnavailable = 503;
const drainCheckIntervalMs = 20;

/** Settings of the callers' listener. */
export interface HttpEntryOptions {
  readonly host: string;
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly requestTimeoutMs: number;
  readonly defaultDeadlineMs: number;
  /** Time between leaving the balancer and refusing new connections. */
  readonly drainNoticeMs: number;
}

/** Accepts callers over HTTP. */
export class HttpEntry extends Entry {
  readonly #options: HttpEntryOptions;
  #server: Server | undefined;
  #services: ServiceLookup | undefined;
  #state = DaemonState.Starting;
  #activeCount = 0;

  constructor(options: HttpEntryOptions) {
    super();
    this.#options = options;
  }

  override get needs(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Metrics,
      ServiceName.Ownership,
      ServiceName.Lists,
      ServiceName.Admission,
      ServiceName.Delivery,
    ];
  }

  override port(): number {
    return (this.#server?.address() as AddressInfo | null)?.port ?? 0;
  }

  override async start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    const server = createServer(
      {
        maxHeaderSize: this.#options.maxHeaderBytes,
        requestTimeout: this.#options.requestTimeoutMs,
        headersTimeout: this.#options.requestTimeoutMs,
        connectionsCheckingInterval: this.#options.requestTimeoutMs / 2,
      },
      (request, response) => this.#handle({ request, response }),
    );
    this.#server = server;
    await listen(server, this.#options);
    this.#state = DaemonState.Ready;
  }

  override async drain(): Promise<void> {
    this.#state = DaemonState.Draining;
    const clock = this.#services!.get(ServiceName.Clock);
    await clock.sleep(this.#options.drainNoticeMs);
    while (this.#activeCount > 0) await clock.sleep(drainCheckIntervalMs);
  }

  override async stop(): Promise<void> {
    const server = this.#server;
    if (server === undefined) return;
    const closed = new Promise<void>((resolve) =>
      server.close(() => resolve())
    );
    server.closeAllConnections();
    await closed;
  }

  async #handle(exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange;
    if (request.url === healthPath) return void response.end("ok\n");
    if (request.url === readyPath) return this.#sendReadiness(response);
    this.#activeCount += 1;
    try {
      await this.#route(exchange);
    } catch (error) {
      const failure = toRouterError(error, MessageCode.Internal, {
        step: "route request",
      });
      this.#services!.get(ServiceName.Metrics)
        .count(CounterName.RequestsRefused, failure.code);
      sendRefusal(response, failure);
    } finally {
      this.#activeCount -= 1;
    }
  }

  async #route({ request, response }: HttpExchange): Promise<void> {
    const services = this.#services!;
    const clock = services.get(ServiceName.Clock);
    const metrics = services.get(ServiceName.Metrics);
    const startedAtMs = clock.nowMs();
    metrics.count(CounterName.RequestsReceived);
    const routed = await readRequest(services, request, this.#options);
    const cancelled = createCancellation({ request, response });
    const ticket = await services.get(ServiceName.Admission)
      .admit(routed, cancelled);
    if (ticket.isErr()) throw ticket.error;
    const result = await services.get(ServiceName.Delivery)
      .deliver(routed, cancelled);
    if (result.isErr()) {
      const { outcome } = result.error;
      if (outcome === AttemptOutcome.NotSent) ticket.value.refund();
      throw result.error;
    }
    response.writeHead(result.value.status, { ...result.value.headers });
    await writeBody(response, result.value.body);
    metrics.count(CounterName.RequestsAnswered);
    metrics.record(TimingName.Total, clock.nowMs() - startedAtMs, routed);
  }

  /** A daemon without lists is still starting: it would refuse everyone. */
  #daemonState(): DaemonState {
    if (this.#state !== DaemonState.Ready) return this.#state;
    const freshness = this.#services!.get(ServiceName.Lists).freshness();
    return freshness === ListsFreshness.Missing
      ? DaemonState.Starting
      : DaemonState.Ready;
  }

  #sendReadiness(response: ServerResponse): void {
    const state = this.#daemonState();
    const isReady = state === DaemonState.Ready;
    response.writeHead(isReady ? statusOk : statusUnavailable);
    response.end(`${state}\n`);
  }
}

/** Aborts when the caller goes away before the answer is complete. */
function createCancellation(
  { response }: { request: IncomingMessage; response: ServerResponse },
): AbortSignal {
  const controller = new AbortController();
  response.once("close", () => {
    if (response.writableFinished) return;
    controller.abort(
      new RouterError(MessageCode.RequestCancelled, "await answer"),
    );
  });
  return controller.signal;
}
