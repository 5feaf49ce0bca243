/**
 * Calls other daemons over HTTP: forwards requests with undici, and provides
 * Connect transports for control calls.
 */
import type { Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { err, ok, type Result } from "neverthrow";
import { Agent } from "undici";
import { MessageCode } from "../../diagnostics/messages.ts";
import { PeerTransport } from "../../host/peer_transport.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { notSentCodes } from "../../host/not_sent_codes.ts";
import { AttemptOutcome, RequestClass } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import { tryDecodeFailure } from "../../types/failure_codec.ts";
import type {
  KeyLocation,
  RoutedRequest,
  RoutedResponse,
} from "../../types/types.ts";
import { flattenHeaders } from "../backend/http_headers.ts";
import {
  encodeForward,
  failureHeader,
  forwardHeader,
  forwardPath,
  maxControlMessageBytes,
} from "./forward_codec.ts";

/** Settings of the peer transport. */
export interface HttpPeerTransportOptions {
  readonly secret: string;
  /** Connections to one peer for each request class. */
  readonly connectionsPerPeer: number;
  readonly connectTimeoutMs: number;
  readonly callTimeoutMs: number;
}

/** Forwards requests and control calls to peers over HTTP. */
export class HttpPeerTransport extends PeerTransport {
  readonly #options: HttpPeerTransportOptions;
  /** One agent per class, so that no class waits for the connections of another class. */
  readonly #agents: Readonly<Record<RequestClass, Agent>>;
  readonly #transports = new Map<string, Transport>();
  #services: ServiceLookup | undefined;

  constructor(options: HttpPeerTransportOptions) {
    super();
    this.#options = options;
    this.#agents = {
      [RequestClass.Confirmation]: createAgent(options),
      [RequestClass.LiveRead]: createAgent(options),
      [RequestClass.Archive]: createAgent(options),
    };
  }

  override get dependencies(): readonly ServiceName[] {
    return [ServiceName.Clock];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    const agents = Object.values(this.#agents);
    await Promise.all(agents.map((agent) => agent.destroy()));
  }

  override connectTo(address: string): Transport {
    const known = this.#transports.get(address);
    if (known !== undefined) return known;
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: "1.1",
      defaultTimeoutMs: this.#options.callTimeoutMs,
      readMaxBytes: maxControlMessageBytes,
      interceptors: [(next) => (call) => {
        call.header.set("authorization", `Bearer ${this.#options.secret}`);
        return next(call);
      }],
    });
    this.#transports.set(address, transport);
    return transport;
  }

  override async forward(
    address: string,
    request: RoutedRequest,
    options: { readonly location: KeyLocation; readonly signal: AbortSignal },
  ): Promise<Result<RoutedResponse, RouterError>> {
    const clock = this.#services?.get(ServiceName.Clock);
    const nowMs = clock?.nowMs() ?? 0;
    try {
      const answer = await this.#agents[request.requestClass].request({
        origin: `http://${address}`,
        path: forwardPath,
        method: "POST",
        body: request.body,
        signal: options.signal,
        headersTimeout: Math.max(1, request.deadlineAtMs - nowMs),
        headers: {
          authorization: `Bearer ${this.#options.secret}`,
          [forwardHeader]: encodeForward(request, nowMs),
        },
      });
      const headers = flattenHeaders(answer.headers);
      const failure = headers[failureHeader];
      if (failure === undefined) {
        return ok({ status: answer.statusCode, headers, body: answer.body });
      }
      await answer.body.dump();
      return err(decodePeerFailure(failure, address));
    } catch (error) {
      return err(createForwardError(error, address));
    }
  }
}

function createAgent(options: HttpPeerTransportOptions): Agent {
  return new Agent({
    connections: options.connectionsPerPeer,
    connect: { timeout: options.connectTimeoutMs },
  });
}

function decodePeerFailure(header: string, address: string): RouterError {
  const text = Buffer.from(header, "base64url").toString("utf8");
  return tryDecodeFailure(text) ??
    new RouterError(MessageCode.OutcomeUnknown, "forward", {
      peer: address,
      detail: "the peer's failure is not readable",
      outcome: AttemptOutcome.Unknown,
    });
}

function createForwardError(error: unknown, address: string): RouterError {
  const code = (error as { code?: string }).code ?? "";
  const isNotSent = notSentCodes.has(code);
  return new RouterError(
    isNotSent ? MessageCode.PeerUnreachable : MessageCode.OutcomeUnknown,
    "forward",
    {
      peer: address,
      detail: String(error),
      outcome: isNotSent ? AttemptOutcome.NotSent : AttemptOutcome.Unknown,
      cause: error,
    },
  );
}
