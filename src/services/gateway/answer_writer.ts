/**
 * Writes answers of backend servers and refusals of the daemon to callers, and
 * logs and measures the outcome of each request.
 */
import { once } from "node:events";
import { pipeline, Readable } from "node:stream";
import { LogEvent } from "../../diagnostics/log_events.ts";
import { countBytes, endWithChunks } from "../../streams/end_with_body.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { RequestClass } from "../../types/enums.ts";
import { assertNever } from "../../types/errors.ts";
import { RequestKind } from "../../types/routing.ts";
import {
  type DeliveredAnswer,
  DeliveryEnding,
  DeliveryReason,
  type DispatchOutcome,
  type RoutedCall,
} from "../dispatch/dispatch.ts";
import { CounterName, TimingName } from "../metrics/metrics.ts";
import type { Exchange, Refusal } from "./exchange.ts";

/** Retry delay for a refused caller when no other delay is known. */
export const defaultRetryAfterMs = 500;

export const statusUnavailable = 503;
const statusBadGateway = 502;
const statusGatewayTimeout = 504;

export class AnswerWriter {
  readonly #services: ServiceLookup;
  /** Set during shutdown: the last answer of each connection then closes it. */
  isLeaving = false;

  constructor(services: ServiceLookup) {
    this.#services = services;
  }

  /** Answers a request with the result of its delivery. */
  writeDelivery(exchange: Exchange, delivery: DispatchOutcome): void {
    const { ending, reason, answer } = delivery;
    switch (ending) {
      case DeliveryEnding.Answered:
        this.#services.get(ServiceName.Metrics)
          .count(CounterName.RequestsAnswered);
        return this.#writeAnswer(exchange, answer!);
      case DeliveryEnding.NotRun:
        return this.refuse(exchange, {
          status: statusUnavailable,
          reason: `not run: ${reason}`,
          cause: reason,
          retryAfterMs: delivery.retryAfterMs ?? defaultRetryAfterMs,
        });
      case DeliveryEnding.Unknown:
        return this.refuse(exchange, {
          status: statusBadGateway,
          reason: `may have run: ${reason}`,
          cause: reason,
        });
      case DeliveryEnding.TimedOut:
        return this.refuse(exchange, {
          status: statusGatewayTimeout,
          reason: `may have run: ${reason}`,
          cause: reason,
        });
      case DeliveryEnding.CallerLeft:
        return;
      default:
        assertNever(ending);
    }
  }

  #writeAnswer(
    exchange: Exchange,
    { status, headers, body, endsWithConnection }: DeliveredAnswer,
  ): void {
    const { response } = exchange;
    response.sendDate = false;
    const length = body instanceof Readable || endsWithConnection
      ? []
      : ["Content-Length", String(countBytes(body))];
    this.#markClosing(exchange);
    if (endsWithConnection) {
      // The body may be incomplete, so its end is marked only by closing the
      // connection. Chunked encoding would state that it is complete.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      exchange.connection.isClosing = true;
    }
    response.writeHead(status, [...headers, ...length]);
    if (!(body instanceof Readable)) return endWithChunks(response, body);
    if (endsWithConnection) {
      return void this.#writeUntilConnectionEnds(exchange, body);
    }
    pipeline(body, response, (error) => {
      if (!error) return;
      this.#logTruncated(error);
      response.destroy();
    });
  }

  /** Writes a body whose end is marked only by the end of the connection; resets the connection if the body breaks off. */
  async #writeUntilConnectionEnds(
    { response, connection }: Exchange,
    body: Readable,
  ): Promise<void> {
    connection.answerEndsWithConnection = true;
    const signal = connection.disconnectSignal;
    try {
      for await (const chunk of body) {
        if (!response.write(chunk)) await once(response, "drain", { signal });
      }
      response.end();
    } catch (error) {
      this.#logTruncated(error as Error);
      connection.reset();
    }
  }

  #logTruncated(error: Error): void {
    this.#services.get(ServiceName.Log).write(LogEvent.AnswerTruncated, {
      reason: error.message,
    });
  }

  /** Answers a request with a refusal of the daemon. */
  refuse(exchange: Exchange, refusal: Refusal): void {
    const { response } = exchange;
    this.#services.get(ServiceName.Metrics)
      .count(
        CounterName.RequestsRefused,
        refusal.cause ?? `status ${refusal.status}`,
      );
    const body = JSON.stringify({ error: refusal.reason });
    this.#markClosing(exchange);
    const retryAfter = refusal.retryAfterMs === undefined
      ? []
      : ["Retry-After", (refusal.retryAfterMs / 1_000).toFixed(2)];
    response.writeHead(refusal.status, [
      "Content-Type",
      "application/json",
      "Content-Length",
      String(Buffer.byteLength(body)),
      ...retryAfter,
    ]);
    response.end(body);
    this.#logRefusal(exchange, refusal);
  }

  /** During shutdown, lets the answer to the newest request close the connection. */
  #markClosing({ response, connection, sequenceNumber }: Exchange): void {
    if (!this.isLeaving || !connection.isNewestRequest(sequenceNumber)) return;
    connection.isClosing = true;
    response.shouldKeepAlive = false;
  }

  /** Writes the log line and the metrics of a delivery. */
  logDelivery(
    { arrivedAtMs }: Exchange,
    { call, delivery }: {
      readonly call: RoutedCall;
      readonly delivery: DispatchOutcome;
    },
  ): void {
    const services = this.#services;
    const tookMs = services.get(ServiceName.Clock).nowMs() - arrivedAtMs;
    const labels = {
      customer: call.service,
      requestClass: toRequestClass(call.route.kind),
    };
    const metrics = services.get(ServiceName.Metrics);
    metrics.record(TimingName.Total, tookMs, labels);
    if (delivery.queuedMs > 0) {
      metrics.record(TimingName.Wait, delivery.queuedMs, labels);
    }
    services.get(ServiceName.Log).write(LogEvent.Request, {
      id: call.requestId,
      route: call.route.name,
      service: call.service,
      key: call.key,
      ending: delivery.ending,
      reason: delivery.reason === DeliveryReason.None
        ? undefined
        : delivery.reason,
      status: delivery.answer?.status,
      server: delivery.server,
      sends: delivery.sendCount,
      trail: delivery.trail.length > 1 || delivery.answer === undefined
        ? delivery.trail.join("; ")
        : undefined,
      tookMs: Math.round(tookMs),
      configuration: services.get(ServiceName.Routing).currentTable()?.version,
      ownersVersion: call.key === undefined
        ? undefined
        : services.get(ServiceName.KeySpace).versionOf(call.service),
    });
  }

  #logRefusal({ request }: Exchange, refusal: Refusal): void {
    const metadata = this.#services.get(ServiceName.CallerProtocol)
      .decodeMetadata(request.headers);
    this.#services.get(ServiceName.Log).write(LogEvent.Refused, {
      id: metadata.requestId,
      status: refusal.status,
      reason: refusal.reason,
      retryAfterMs: refusal.retryAfterMs && Math.round(refusal.retryAfterMs),
    });
  }
}

/** Returns the request class under which a kind of request is measured. */
function toRequestClass(kind: RequestKind): RequestClass {
  switch (kind) {
    case RequestKind.NonIdempotent:
    case RequestKind.Upload:
      return RequestClass.Confirmation;
    case RequestKind.Idempotent:
      return RequestClass.LiveRead;
    case RequestKind.Download:
      return RequestClass.Archive;
    default:
      assertNever(kind);
  }
}
