/**
 * The peer listener over Node's `http`: serves Connect services for control,
 * and a plain streaming path for forwarded requests. Every request must carry
 * the fleet's shared secret, so that callers who can reach the listener cannot
 * use it.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { DescService } from "@bufbuild/protobuf";
import type { ConnectRouter, ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import {
  formatPublicMessage,
  MessageCode,
} from "../../diagnostics/messages.ts";
import { listen } from "../../host/listen.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { CounterName } from "../metrics/metrics.ts";
import { ActiveTasks } from "../entry/active_tasks.ts";
import { waitUntilClosed } from "../entry/write_body.ts";
import { handleForward, type HttpExchange } from "./forward_handler.ts";
import { PeerServer } from "./peer_server.ts";
import { forwardPath, maxControlMessageBytes } from "./forward_codec.ts";

const statusUnauthorized = 401;
/** Prefix of the error codes of Node's HTTP parser. */
const parserErrorCodePrefix = "HPE_";
const requestTimeoutMs = 60_000;
const headersTimeoutMs = 5_000;
const defaultDrainTimeoutMs = 30_000;
/** Ratio of the peer listener's head size limit to the callers' one, since a forwarded head is base64 text within another head. */
const forwardedHeadSizeRatio = 4;

/** Settings of the peer listener. */
export interface HttpPeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly secret: string;
  /** The largest head that the callers' listener accepts. */
  readonly maxHeaderBytes: number;
  /** The largest body that the callers' listener accepts. */
  readonly maxBodyBytes: number;
  /** Longest wait of a drain for forwarded in-flight requests; 30 s when omitted. */
  readonly drainTimeoutMs?: number;
}

/** Serves peers and operators over HTTP. */
export class HttpPeerServer extends PeerServer {
  readonly #options: HttpPeerServerOptions;
  readonly #active = new ActiveTasks();
  readonly #registrations: ((router: ConnectRouter) => void)[] = [];
  #handleConnect: ReturnType<typeof connectNodeAdapter> | undefined;
  #services: ServiceLookup | undefined;
  #server: Server | undefined;

  constructor(options: HttpPeerServerOptions) {
    super();
    this.#options = options;
  }

  override get dependencies(): readonly ServiceName[] {
    return [ServiceName.Clock, ServiceName.Metrics];
  }

  override addConnectService<S extends DescService>(
    description: S,
    implementation: Partial<ServiceImpl<S>>,
  ): void {
    this.#registrations.push((router) =>
      router.service(description, implementation)
    );
    this.#handleConnect = undefined;
  }

  override async start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    const server = createServer(
      {
        maxHeaderSize: this.#options.maxHeaderBytes * forwardedHeadSizeRatio,
        headersTimeout: headersTimeoutMs,
        requestTimeout: requestTimeoutMs,
      },
      (request, response) => this.#handle(request, response),
    );
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      const isMalformed = error.code?.startsWith(parserErrorCodePrefix) ??
        false;
      if (isMalformed) {
        services.get(ServiceName.Metrics)
          .count(CounterName.PeerErrors, MessageCode.RequestMalformed);
      }
      socket.destroy();
    });
    this.#server = server;
    await listen(server, this.#options);
  }

  /** Waits for forwarded in-flight requests, up to the drain timeout. */
  override async drain(): Promise<void> {
    const { drainTimeoutMs = defaultDrainTimeoutMs } = this.#options;
    const sleepController = new AbortController();
    await Promise.race([
      this.#active.waitUntilIdle(),
      this.#services?.get(ServiceName.Clock)
        .sleep(drainTimeoutMs, sleepController.signal),
    ]);
    sleepController.abort();
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

  /** The port that peers connect to; 0 before the start. */
  port(): number {
    return (this.#server?.address() as AddressInfo | null)?.port ?? 0;
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const services = this.#services;
    if (services === undefined) return void response.destroy();
    if (!isSecretEqual(request.headers.authorization, this.#options.secret)) {
      services.get(ServiceName.Metrics).count(CounterName.PeerUnauthorized);
      return refuseUnauthorized(response);
    }
    if (request.url === forwardPath) {
      void this.#forward(services, { request, response });
      return;
    }
    this.#handleConnect ??= connectNodeAdapter({
      readMaxBytes: maxControlMessageBytes,
      routes: (router) => {
        for (const register of this.#registrations) register(router);
      },
    });
    this.#handleConnect(request, response);
  }

  async #forward(
    services: ServiceLookup,
    exchange: HttpExchange,
  ): Promise<void> {
    this.#active.begin();
    void handleForward(services, exchange, this.#options);
    await waitUntilClosed(exchange.response);
    this.#active.end();
  }
}

/** Answers with a refusal that discloses nothing about the service behind the listener. */
function refuseUnauthorized(response: ServerResponse): void {
  const code = MessageCode.PeerUnauthorized;
  const message = formatPublicMessage(code, undefined);
  response.writeHead(statusUnauthorized, {
    "content-type": "application/json",
    connection: "close",
  });
  response.end(JSON.stringify({ code, message }));
}

/** Compares in constant time; hashing makes the lengths equal. */
function isSecretEqual(header: string | undefined, secret: string): boolean {
  const given = createHash("sha256").update(header ?? "").digest();
  const expected = createHash("sha256").update(`Bearer ${secret}`).digest();
  return timingSafeEqual(given, expected);
}
