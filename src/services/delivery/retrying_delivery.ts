/**
 * Takes a request to the home of its owner, here or on a peer. Each request is
 * one loop: attempt, judge the failure, wait for what can mend it, try again
 * within the deadline and the retry budget.
 */
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { AbortCause, DeadlineSignal } from "../../host/deadline_signal.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { subscribe } from "../../streams/subscribe.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { assertNever, RouterError } from "../../types/errors.ts";
import type {
  KeyLocation,
  RoutedRequest,
  RoutedResponse,
} from "../../types/types.ts";
import { CounterName } from "../metrics/metrics.ts";
import { Delivery } from "./delivery.ts";
import { HomeWatch } from "./home_watch.ts";
import { RetryBudget } from "./retry_budget.ts";
import { decideRetry, RetryDecision } from "./retry_policy.ts";

const firstRetryDelayMs = 20;
const maxRetryDelayMs = 250;
const drainCheckIntervalMs = 20;

type DeliveryResult = Result<RoutedResponse, RouterError>;

/** The progress of one request through its attempts. */
interface DeliveryProgress {
  delayMs: number;
  /** Whether an attempt may have run. */
  mayHaveRun: boolean;
}

/** Delivers with retries. */
export class RetryingDelivery extends Delivery {
  readonly #budget = new RetryBudget();
  #services: ServiceLookup | undefined;
  #watch: HomeWatch | undefined;
  #unsubscribe: () => void = () => {};
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
    while (this.#inFlightCount > 0) await clock.sleep(drainCheckIntervalMs);
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
    const limit = new DeadlineSignal(this.#services!.get(ServiceName.Clock), {
      atMs: request.deadlineAtMs,
      parent: signal,
    });
    try {
      const result = await this.#deliverWithRetries(request, limit);
      return disposeAfter(result, limit);
    } finally {
      this.#inFlightCount -= 1;
    }
  }

  async #deliverWithRetries(
    request: RoutedRequest,
    limit: DeadlineSignal,
  ): Promise<DeliveryResult> {
    const progress = { delayMs: firstRetryDelayMs, mayHaveRun: false };
    for (;;) {
      const version = this.#assignmentVersion(request.service);
      const result = await this.#attempt(request, limit);
      if (result.isOk()) return result;
      const { error } = result;
      if (error.outcome === AttemptOutcome.Unknown) progress.mayHaveRun = true;
      const decision = decideRetry(error, request);
      const isOver = decision === RetryDecision.Stop ||
        limit.cause !== undefined;
      if (isOver) return err(finalError(error, progress));
      if (!this.#tryChargeBudget(decision, request)) {
        return err(finalError(createBudgetSpent(error), progress));
      }
      await this.#waitToRetry(decision, { request, limit, version, progress });
      if (limit.cause !== undefined) return err(finalError(error, progress));
      this.#services!.get(ServiceName.Metrics)
        .count(CounterName.AttemptsRetried, decision);
    }
  }

  /** Attempts that reached no backend server cost no budget. */
  #tryChargeBudget(decision: RetryDecision, request: RoutedRequest): boolean {
    if (decision !== RetryDecision.BackOff) return true;
    if (this.#budget.trySpend(request.service)) return true;
    this.#services!.get(ServiceName.Metrics)
      .count(CounterName.RetryBudgetRefusals);
    return false;
  }

  /** Waits out the delay, or until the assignment changes if that helps. */
  async #waitToRetry(
    decision: RetryDecision,
    { request, limit, version, progress }: {
      readonly request: RoutedRequest;
      readonly limit: DeadlineSignal;
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
        await clock.sleep(delayMs, limit.signal);
        return;
      case RetryDecision.AwaitAssignment: {
        const wait = new DeadlineSignal(clock, {
          atMs: clock.nowMs() + delayMs,
          parent: limit.signal,
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

  /** Between half of the delay and all of it. */
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
    limit: DeadlineSignal,
  ): Promise<DeliveryResult> {
    const services = this.#services!;
    const located = services.get(ServiceName.Ownership)
      .locate(request.service, request.key);
    if (located.isErr()) return err(located.error);
    const location = located.value;
    const membership = services.get(ServiceName.Membership);
    if (location.server.homeDaemonId === membership.self().daemonId) {
      return await services.get(ServiceName.Home)
        .dispatch(request, { signal: limit.signal });
    }
    return await this.#forward(request, { location, limit });
  }

  /** Forwards to the home; gives up when its answer is of no use any more. */
  async #forward(
    request: RoutedRequest,
    { location, limit }: {
      readonly location: KeyLocation;
      readonly limit: DeadlineSignal;
    },
  ): Promise<DeliveryResult> {
    const services = this.#services!;
    const { homeDaemonId } = location.server;
    const home = services.get(ServiceName.Membership)
      .tryGetDaemon(homeDaemonId);
    if (home === undefined) return err(createUnlisted(homeDaemonId));
    services.get(ServiceName.Metrics).count(CounterName.RequestsForwarded);
    const abort = new DeadlineSignal(services.get(ServiceName.Clock), {
      atMs: request.deadlineAtMs,
      parent: limit.signal,
    });
    const { service, key } = request;
    const watched = { service, key, homeDaemonId, abort };
    this.#watch!.add(watched);
    const answered = services.get(ServiceName.PeerTransport)
      .forward(home.address, request, { location, signal: abort.signal });
    const result = await Promise.race([answered, abort.aborted]);
    this.#watch!.remove(watched);
    if (result !== undefined) return disposeAfter(result, abort);
    return err(createGivenUp(homeDaemonId, abort.cause));
  }
}

/** Keeps the signal in force until the answer has been read. */
function disposeAfter(
  result: DeliveryResult,
  signal: DeadlineSignal,
): DeliveryResult {
  if (result.isErr()) {
    signal.dispose();
    return result;
  }
  const { body } = result.value;
  async function* read(): AsyncGenerator<Uint8Array> {
    try {
      yield* body;
    } finally {
      signal.dispose();
    }
  }
  return ok({ ...result.value, body: read() });
}

/** An earlier attempt that may have run outweighs a later refusal. */
function finalError(
  error: RouterError,
  progress: DeliveryProgress,
): RouterError {
  if (!progress.mayHaveRun) return error;
  if (error.outcome === AttemptOutcome.Unknown) return error;
  if (error.outcome === AttemptOutcome.Answered) return error;
  return new RouterError(MessageCode.OutcomeUnknown, "deliver", {
    detail: `an earlier attempt may have run; then ${error.message}`,
    outcome: AttemptOutcome.Unknown,
    cause: error,
  });
}

function createBudgetSpent(error: RouterError): RouterError {
  return new RouterError(MessageCode.RetryBudgetSpent, "deliver", {
    detail: error.message,
    outcome: error.outcome,
    cause: error,
  });
}

function createUnlisted(daemonId: string): RouterError {
  return new RouterError(MessageCode.PeerUnreachable, "deliver", {
    peer: daemonId,
    detail: "not in the list of daemons",
  });
}

function createGivenUp(
  daemonId: string,
  cause: AbortCause | undefined,
): RouterError {
  const code = cause === AbortCause.Deadline
    ? MessageCode.DeadlineExceeded
    : cause === AbortCause.Cancelled
    ? MessageCode.RequestCancelled
    : MessageCode.OutcomeUnknown;
  return new RouterError(code, "forward", {
    peer: daemonId,
    detail: "the home did not answer",
    outcome: AttemptOutcome.Unknown,
  });
}
