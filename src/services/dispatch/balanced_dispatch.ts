/**
 * Sends each request directly to a backend server: to the owner of its key, or
 * to the least loaded server of its service. Whether a retry is safe depends on
 * the request kind of the route and on how the last attempt ended; retries are
 * limited by the retry budget and the route's maximum number of attempts.
 */
import { SendEnding } from "../../host/server_link.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { assertNever } from "../../types/errors.ts";
import { type Attempt, AttemptSender } from "./attempt_sender.ts";
import {
  type DeliveredAnswer,
  DeliveryEnding,
  DeliveryReason,
  Dispatch,
  type DispatchOutcome,
  isFailure,
  isRepeatable,
  type RoutedCall,
} from "./dispatch.ts";
import { CounterName } from "../metrics/metrics.ts";
import {
  type RetryBounds,
  WindowedRetryBudget,
} from "./windowed_retry_budget.ts";
import { ServerFinder } from "./server_finder.ts";
import { ReplayableBody } from "../../streams/replayable_body.ts";
import { createStopController } from "../../streams/stop_controller.ts";

/** Options of `BalancedDispatch`. */
export interface BalancedDispatchOptions {
  readonly daemonId: string;
  readonly zone: string;
  readonly retryBounds: RetryBounds;
}

/** Dispatches requests to backend servers and balances the load among them. */
export class BalancedDispatch extends Dispatch {
  readonly #options: BalancedDispatchOptions;
  readonly #retryBudget: WindowedRetryBudget;
  readonly #stopping = createStopController();
  #finder: ServerFinder | undefined;
  #sender: AttemptSender | undefined;
  #services: ServiceLookup | undefined;

  constructor(options: BalancedDispatchOptions) {
    super();
    this.#options = options;
    this.#retryBudget = new WindowedRetryBudget(options.retryBounds);
  }

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.ServerLink,
      ServiceName.Routing,
      ServiceName.Directory,
      ServiceName.Evacuations,
      ServiceName.KeySpace,
      ServiceName.LoadReports,
      ServiceName.ColdServers,
      ServiceName.Capacities,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    this.#finder = new ServerFinder(services, {
      daemonId: this.#options.daemonId,
      zone: this.#options.zone,
      signal: this.#stopping.signal,
    });
    this.#sender = new AttemptSender(services, this.#finder);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#stopping.abort();
    return Promise.resolve();
  }

  override async deliver(call: RoutedCall): Promise<DispatchOutcome> {
    this.#finder!.noteArrival(call);
    const outcome = await this.#deliver(call);
    this.#finder!.noteOutcome(call, outcome);
    return outcome;
  }

  async #deliver(call: RoutedCall): Promise<DispatchOutcome> {
    const services = this.#services!;
    const clock = services.get(ServiceName.Clock);
    if (call.key !== undefined) {
      services.get(ServiceName.LoadReports)
        .noteRequest(call.service, call.key);
    }
    this.#retryBudget.noteRequest(call.service, clock.nowMs());
    const trail: string[] = [];
    const tried = new Set<string>();
    const broken = new Set<string>();
    const arrivedAtMs = clock.nowMs();
    let sendCount = 0;
    let queuedMs = 0;
    let server: string | undefined;
    /** Why it is unknown whether an earlier attempt has run; undefined if none has. */
    let unknownReason: DeliveryReason | undefined;
    let failedAnswer: DeliveredAnswer | undefined;
    const end = (
      ending: DeliveryEnding,
      reason: DeliveryReason,
      optionalFields: Partial<DispatchOutcome> = {},
    ): DispatchOutcome => ({
      ending,
      reason,
      server,
      sendCount,
      trail,
      queuedMs,
      ...optionalFields,
    });
    /** Ends a request that is not retried. */
    const giveUp = (
      reason: DeliveryReason,
      retryAfterMs = this.#finder!.drawRetryDelayMs(call),
    ): DispatchOutcome => {
      if (failedAnswer !== undefined) {
        return end(DeliveryEnding.Answered, reason, { answer: failedAnswer });
      }
      return unknownReason !== undefined
        ? end(DeliveryEnding.Unknown, unknownReason)
        : end(DeliveryEnding.NotRun, reason, { retryAfterMs });
    };

    for (;;) {
      const acquired = await this.#finder!.acquire(call, {
        tried,
        broken,
        arrivedAtMs,
      });
      if (acquired.queuedMs > 0) {
        queuedMs += acquired.queuedMs;
        trail.push(`queued ${acquired.queuedMs.toFixed(0)} ms`);
      }
      if (call.disconnectSignal.aborted) {
        return end(DeliveryEnding.CallerLeft, DeliveryReason.None);
      }
      if (!("choice" in acquired)) {
        if (acquired.detail !== undefined) trail.push(acquired.detail);
        return giveUp(acquired.reason, acquired.retryAfterMs);
      }
      if (sendCount > 0 && !this.#trySpendRetry(call)) {
        services.get(ServiceName.Metrics)
          .count(CounterName.RetryBudgetRefusals, call.service);
        return giveUp(DeliveryReason.RetryBudget);
      }
      const { choice } = acquired;
      server = choice.server.id;
      const attempt = await this.#sender!.send(call, choice);
      trail.push(`${server} ${attempt.description}`);
      this.#countAttempt(attempt, sendCount);
      if (attempt.wasSent) {
        sendCount += 1;
        if (!attempt.hadFreeSlot || call.key === undefined) tried.add(server);
      }
      switch (attempt.ending) {
        case SendEnding.Answered: {
          const answer = attempt.answer!;
          const isFinal = !isFailure(answer) || !isRepeatable(call) ||
            call.key !== undefined;
          if (isFinal) {
            return end(DeliveryEnding.Answered, DeliveryReason.None, {
              answer,
            });
          }
          failedAnswer = answer;
          break;
        }
        case SendEnding.NotConnected:
          tried.add(server);
          break;
        case SendEnding.NotRun:
        case SendEnding.WrongServer:
          break;
        case SendEnding.AmbiguousRefusal:
          unknownReason = DeliveryReason.AmbiguousRefusal;
          if (!isRepeatable(call) || call.key !== undefined) {
            return giveUp(unknownReason);
          }
          break;
        case SendEnding.Broken:
          unknownReason = DeliveryReason.AnswerLost;
          broken.add(server);
          if (!isRepeatable(call)) return giveUp(unknownReason);
          break;
        case SendEnding.Cancelled:
          return call.disconnectSignal.aborted
            ? end(DeliveryEnding.CallerLeft, DeliveryReason.None)
            : end(DeliveryEnding.TimedOut, DeliveryReason.Deadline);
        default:
          assertNever(attempt.ending);
      }
      if (sendCount >= call.route.maxAttempts) {
        return giveUp(DeliveryReason.AttemptsSpent);
      }
      if (call.body instanceof ReplayableBody && !call.body.isReplayable) {
        return giveUp(DeliveryReason.BodySpent);
      }
      // Only the owner may run the request. If it is full, it would refuse an
      // immediate retry as well.
      const wasOwnerFull = call.key !== undefined &&
        attempt.ending === SendEnding.NotRun && !attempt.hadFreeSlot;
      if (wasOwnerFull) {
        return giveUp(DeliveryReason.Overloaded);
      }
    }
  }

  #countAttempt({ ending, wasSent }: Attempt, earlierCount: number): void {
    const metrics = this.#services!.get(ServiceName.Metrics);
    if (wasSent) metrics.count(CounterName.AttemptsSent, ending);
    if (wasSent && earlierCount > 0) metrics.count(CounterName.AttemptsRetried);
  }

  #trySpendRetry({ service }: RoutedCall): boolean {
    const services = this.#services!;
    return this.#retryBudget.trySpend(service, {
      nowMs: services.get(ServiceName.Clock).nowMs(),
      daemonCount: services.get(ServiceName.KeySpace).daemonCount(),
    });
  }
}
