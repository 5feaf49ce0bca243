/**
 * Takes a request to the home of its owner, here or on a peer. Retries only
 * what is known not to have run, or what is idempotent, within the deadline.
 */
import type { Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { assertNever, RouterError } from "../../types/errors.ts";
import type { RoutedRequest, RoutedResponse } from "../../types/types.ts";
import { err } from "neverthrow";
import { CounterName } from "../metrics/metrics.ts";
import { Delivery } from "./delivery.ts";

const firstRetryDelayMs = 20;
const maxRetryDelayMs = 250;

/** Delivers with retries. */
export class RetryingDelivery extends Delivery {
  #services: ServiceLookup | undefined;
  #inFlightCount = 0;

  override get needs(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Metrics,
      ServiceName.Membership,
      ServiceName.Ownership,
      ServiceName.Home,
      ServiceName.PeerTransport,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    return Promise.resolve();
  }

  override inFlightCount(): number {
    return this.#inFlightCount;
  }

  override async deliver(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<RoutedResponse, RouterError>> {
    this.#inFlightCount += 1;
    try {
      return await this.#deliverWithRetries(request, signal);
    } finally {
      this.#inFlightCount -= 1;
    }
  }

  async #deliverWithRetries(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<RoutedResponse, RouterError>> {
    const services = this.#services!;
    const clock = services.get(ServiceName.Clock);
    let delayMs = firstRetryDelayMs;
    for (;;) {
      const result = await this.#attempt(request, signal);
      if (result.isOk() || !isRetryable(result.error, request)) return result;
      if (clock.nowMs() + delayMs >= request.deadlineAtMs || signal.aborted) {
        return result;
      }
      services.get(ServiceName.Metrics).count(CounterName.AttemptsRetried);
      await clock.sleep(delayMs, signal);
      delayMs = Math.min(delayMs * 2, maxRetryDelayMs);
    }
  }

  #attempt(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<RoutedResponse, RouterError>> {
    const services = this.#services!;
    const located = services.get(ServiceName.Ownership)
      .locate(request.service, request.key);
    if (located.isErr()) return Promise.resolve(err(located.error));
    const location = located.value;
    const membership = services.get(ServiceName.Membership);
    const { homeDaemonId } = location.server;
    if (homeDaemonId === membership.self().daemonId) {
      return services.get(ServiceName.Home).dispatch(request, { signal });
    }
    const home = membership.tryGetDaemon(homeDaemonId);
    if (home === undefined) {
      return Promise.resolve(err(
        new RouterError(MessageCode.PeerUnreachable, "deliver", {
          peer: homeDaemonId,
          detail: "not in the list of daemons",
        }),
      ));
    }
    services.get(ServiceName.Metrics).count(CounterName.RequestsForwarded);
    return services.get(ServiceName.PeerTransport)
      .forward(home.address, request, { location, signal });
  }
}

/** Whether another attempt is safe and could help. */
function isRetryable(error: RouterError, request: RoutedRequest): boolean {
  if (error.code === MessageCode.LimitExceeded) return false;
  switch (error.outcome) {
    case AttemptOutcome.NotSent:
    case AttemptOutcome.RefusedUnrun:
      return true;
    case AttemptOutcome.Unknown:
      return request.isIdempotent;
    case AttemptOutcome.Answered:
      return false;
    default:
      return assertNever(error.outcome);
  }
}
