/**
 * Delivers a request to the home of the key's owner, on this daemon or a peer.
 * Each request is one loop: make an attempt, classify its failure, wait for the
 * backoff delay or a newer assignment, and retry within the deadline and the
 * retry budget.
 */
import { err } from "neverthrow";
import { DeadlineSignal } from "../../host/deadline_signal.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { subscribe } from "../../streams/subscribe.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { assertNever } from "../../types/errors.ts";
import type { KeyLocation, RoutedRequest } from "../../types/types.ts";
import { CounterName } from "../metrics/metrics.ts";
import { Delivery } from "./delivery.ts";
import {
  createBudgetSpentError,
  createFinalError,
  createUnansweredError,
  createUnknownDaemonError,
  type DeliveryProgress,
} from "./delivery_errors.ts";
import { type DeliveryResult, disposeAfter } from "./dispose_after.ts";
import { HomeWatch } from "./home_watch.ts";
import { RetryBudget } from "./retry_budget.ts";
import { decideRetry, RetryDecision } from "./retry_policy.ts";

const firstRetryDelayMs = 20;
const maxRetryDelayMs = 250;
const drainPollIntervalMs = 20;

/** Delivers requests with retries. */
export class RetryingDelivery extends Delivery {
  readonly #budget = new RetryBudget();
  #services: ServiceLookup | undefined;
  #watch: HomeWatch | undefined;
  #unsubscribe: () => void = () => {};
  #inFlightCount = 0;

  override get dependencies(): readonly ServiceName[] {
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
    const ownership = services.get(ServiceName.Ownership);
    const watch = new HomeWatch(services.get(ServiceName.Clock), ownership);
    this.#services = services;
    this.#watch = watch;
    this.#unsubscribe = subscribe(
      ownership.changes,
      (assignment) => watch.noteAssignment(assignment),
    );
    return Promise.resolve();
  }

  override async drain(): Promise<void> {
    const clock = this.#services!.get(ServiceName.Clock);
    while (this.#inFlightCount > 0) await clock.sleep(drainPollIntervalMs);
  }

  override stop(): Promise<void> {
    this.#unsubscribe();
    return Promise.resolve();
  }

  override inFlightCount(): number {
    return this.#inFlightCount;
  }

  override async deliver(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<DeliveryResult> {
    this.#inFlightCount += 1;
    this.#budget.noteRequest(request.service);
    const deadline = new DeadlineSignal(
      this.#services!.get(ServiceName.Clock),
      {
        atMs: request.deadlineAtMs,
        parent: signal,
      },
    );
    try {
      const result = await this.#deliverWithRetries(request, deadline);
      return disposeAfter(result, deadline);
    } finally {
      this.#inFlightCount -= 1;
    }
  }

  async #deliverWithRetries(
    request: RoutedRequest,
    deadline: DeadlineSignal,
  ): Promise<DeliveryResult> {
    const progress = { delayMs: firstRetryDelayMs, mayHaveRun: false };
    for (;;) {
      const version = this.#assignmentVersion(request.service);
      const result = await this.#attempt(request, deadline);
      if (result.isOk()) return result;
      const { error } = result;
      if (error.outcome === AttemptOutcome.Unknown) progress.mayHaveRun = true;
      const decision = decideRetry(error, request);
      const isOver = decision === RetryDecision.Stop ||
        deadline.cause !== undefined;
      if (isOver) return err(createFinalError(error, progress));
      if (!this.#tryChargeBudget(decision, request)) {
        return err(createFinalError(createBudgetSpentError(error), progress));
      }
      await this.#waitToRetry(decision, {
        request,
        deadline,
        version,
        progress,
      });
      if (deadline.cause !== undefined) {
        return err(createFinalError(error, progress));
      }
      this.#services!.get(ServiceName.Metrics)
        .count(CounterName.AttemptsRetried, decision);
    }
  }

  /**
   * Charges the retry budget. A request that waits for a newer assignment is
   * free, since it put no load on a backend server.
   */
  #tryChargeBudget(decision: RetryDecision, request: RoutedRequest): boolean {
    if (decision !== RetryDecision.BackOff) return true;
    if (this.#budget.trySpend(request.service)) return true;
    this.#services!.get(ServiceName.Metrics)
      .count(CounterName.RetryBudgetRefusals);
    return false;
  }

  /** Waits for the retry delay, or for a newer assignment if the decision calls for it. */
  async #waitToRetry(
    decision: RetryDecision,
    { request, deadline, version, progress }: {
      readonly request: RoutedRequest;
      readonly deadline: DeadlineSignal;
      readonly version: number;
      readonly progress: DeliveryProgress;
    },
  ): Promise<void> {
    const clock = this.#services!.get(ServiceName.Clock);
    const delayMs = this.#jitter(progress.delayMs);
    progress.delayMs = Math.min(progress.delayMs * 2, maxRetryDelayMs);
    switch (decision) {
      case RetryDecision.Stop:
        return;
      case RetryDecision.BackOff:
        await clock.sleep(delayMs, deadline.signal);
        return;
      case RetryDecision.AwaitAssignment: {
        const wait = new DeadlineSignal(clock, {
          atMs: clock.nowMs() + delayMs,
          parent: deadline.signal,
        });
        const ownership = this.#services!.get(ServiceName.Ownership);
        ownership.requestRefresh(request.service);
        await ownership.waitForNewer(request.service, version, wait.signal);
        wait.dispose();
        return;
      }
      default:
        return assertNever(decision);
    }
  }

  /** Returns a random delay between half of `delayMs` and `delayMs`. */
  #jitter(delayMs: number): number {
    const fraction = this.#services!.get(ServiceName.Random).nextFraction();
    return delayMs * (0.5 + fraction / 2);
  }

  #assignmentVersion(service: string): number {
    const ownership = this.#services!.get(ServiceName.Ownership);
    return ownership.tryGetAssignment(service)?.version ?? 0;
  }

  async #attempt(
    request: RoutedRequest,
    deadline: DeadlineSignal,
  ): Promise<DeliveryResult> {
    const services = this.#services!;
    const located = services.get(ServiceName.Ownership)
      .locate(request.service, request.key);
    if (located.isErr()) return err(located.error);
    const location = located.value;
    const membership = services.get(ServiceName.Membership);
    if (location.server.homeDaemonId === membership.self().daemonId) {
      return await services.get(ServiceName.Home)
        .dispatch(request, { signal: deadline.signal });
    }
    return await this.#forward(request, { location, deadline });
  }

  /** Forwards the request to its home; stops waiting at the deadline or when the home changes. */
  async #forward(
    request: RoutedRequest,
    { location, deadline }: {
      readonly location: KeyLocation;
      readonly deadline: DeadlineSignal;
    },
  ): Promise<DeliveryResult> {
    const services = this.#services!;
    const { homeDaemonId } = location.server;
    const home = services.get(ServiceName.Membership)
      .tryGetDaemon(homeDaemonId);
    if (home === undefined) return err(createUnknownDaemonError(homeDaemonId));
    services.get(ServiceName.Metrics).count(CounterName.RequestsForwarded);
    const forwardDeadline = new DeadlineSignal(
      services.get(ServiceName.Clock),
      { atMs: request.deadlineAtMs, parent: deadline.signal },
    );
    const { service, key } = request;
    const watched = { service, key, homeDaemonId, forwardDeadline };
    this.#watch!.add(watched);
    const answered = services.get(ServiceName.PeerTransport)
      .forward(home.address, request, {
        location,
        signal: forwardDeadline.signal,
      });
    const result = await Promise.race([answered, forwardDeadline.aborted]);
    this.#watch!.remove(watched);
    if (result !== undefined) return disposeAfter(result, forwardDeadline);
    return err(createUnansweredError(homeDaemonId, forwardDeadline.cause));
  }
}
