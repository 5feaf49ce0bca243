/**
 * Serves each request in one task, from admission to the last byte of the
 * answer. Refunds the allowance if the request was not sent to a backend
 * server, and records the total time by customer and class. The wait and
 * service times are recorded by the home of the key's owner.
 */
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError, toRouterError } from "../../types/errors.ts";
import type { RoutedRequest, RoutedResponse } from "../../types/types.ts";
import { CounterName, TimingName } from "../metrics/metrics.ts";
import { RefusalHistory, type RefusalRecord } from "./refusal_history.ts";
import { type RejectedRequest, RequestPipeline } from "./request_pipeline.ts";
import { RequestScope } from "./request_scope.ts";

const refusalCapacity = 2_000;

/** A request between admission and the end of its answer. */
interface RunningRequest {
  readonly request: RoutedRequest;
  readonly scope: RequestScope;
}

/** Runs requests through the admission service and the delivery service. */
export class AdmittingPipeline extends RequestPipeline {
  readonly #refusals = new RefusalHistory(refusalCapacity);
  #services: ServiceLookup | undefined;
  #inFlightCount = 0;

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Metrics,
      ServiceName.Admission,
      ServiceName.Delivery,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    return Promise.resolve();
  }

  override inFlightCount(): number {
    return this.#inFlightCount;
  }

  override tryFindRefusal(requestId: string): RefusalRecord | undefined {
    return this.#refusals.tryFind(requestId);
  }

  override async run(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<RoutedResponse, RouterError>> {
    const services = this.#services!;
    const clock = services.get(ServiceName.Clock);
    services.get(ServiceName.Metrics).count(CounterName.RequestsReceived);
    this.#inFlightCount += 1;
    const scope = new RequestScope(clock, request, {
      callerSignal: signal,
      onEnd: () => void (this.#inFlightCount -= 1),
    });
    const result = await this.#admitAndDeliver(request, scope);
    if (result.isOk()) {
      const body = this.#streamBody(result.value, { request, scope });
      return ok({ ...result.value, body });
    }
    scope.end();
    this.#recordRefusal(request, result.error);
    return err(result.error);
  }

  override reject(rejected: RejectedRequest, failure: RouterError): void {
    this.#services!.get(ServiceName.Metrics)
      .count(CounterName.RequestsMalformed, failure.code);
    this.#addToHistory(rejected, failure);
  }

  async #admitAndDeliver(
    request: RoutedRequest,
    scope: RequestScope,
  ): Promise<Result<RoutedResponse, RouterError>> {
    const services = this.#services!;
    const ticket = await services.get(ServiceName.Admission)
      .admit(request, scope.signal);
    if (ticket.isErr()) return err(ticket.error);
    const { planRank, refund } = ticket.value;
    const result = await this.#deliver({ ...request, planRank }, scope);
    if (result.isErr() && result.error.outcome === AttemptOutcome.NotSent) {
      refund.call(ticket.value);
    }
    return result;
  }

  /** Delivers the request; an unexpected exception becomes an unknown outcome. */
  async #deliver(
    request: RoutedRequest,
    scope: RequestScope,
  ): Promise<Result<RoutedResponse, RouterError>> {
    try {
      return await this.#services!.get(ServiceName.Delivery)
        .deliver(request, scope.signal);
    } catch (error) {
      return err(toRouterError(error, MessageCode.Internal, {
        step: "deliver",
        outcome: AttemptOutcome.Unknown,
      }));
    }
  }

  /** Streams the body; records the metrics of the request when the body ends. */
  async *#streamBody(
    response: RoutedResponse,
    { request, scope }: RunningRequest,
  ): AsyncGenerator<Uint8Array> {
    const metrics = this.#services!.get(ServiceName.Metrics);
    let isComplete = false;
    try {
      for await (const chunk of response.body) {
        throwIfAborted(scope.signal);
        yield chunk;
      }
      isComplete = true;
    } finally {
      scope.end();
      if (isComplete) {
        metrics.record(TimingName.Total, scope.elapsedMs(), request);
      }
      metrics.count(
        isComplete
          ? CounterName.RequestsAnswered
          : CounterName.AnswersTruncated,
      );
    }
  }

  #recordRefusal(request: RoutedRequest, failure: RouterError): void {
    this.#services!.get(ServiceName.Metrics)
      .count(CounterName.RequestsRefused, failure.code);
    const { requestId, customer, service, key } = request;
    this.#addToHistory({ requestId, customer, service, key }, failure);
  }

  #addToHistory(rejected: RejectedRequest, failure: RouterError): void {
    const services = this.#services!;
    this.#refusals.add({
      ...rejected,
      failure,
      wallTimeMs: services.get(ServiceName.Clock).wallTimeMs(),
      listsVersion: services.tryGet(ServiceName.Lists)?.current()?.version,
    });
  }
}

function throwIfAborted(signal: AbortSignal): void {
  if (!signal.aborted) return;
  throw new RouterError(MessageCode.AnswerTruncated, "stream answer", {
    outcome: AttemptOutcome.Answered,
    cause: signal.reason,
  });
}
