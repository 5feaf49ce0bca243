/**
 * Lets a non-idempotent request with an idempotency key run at most once. The
 * first request leaves a record before it is queued; repeats wait for it,
 * receive its answer again, or learn that it may have run.
 */
import { err, ok } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { Clock } from "../../host/clock.ts";
import { AbortCause, DeadlineSignal } from "../../host/deadline_signal.ts";
import type { RandomSource } from "../../host/random_source.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { assertNever, RouterError } from "../../types/errors.ts";
import type {
  KeyLocation,
  RoutedRequest,
  RoutedResponse,
} from "../../types/types.ts";
import { CounterName, type Metrics } from "../metrics/metrics.ts";
import { bufferAnswer } from "./buffer_answer.ts";
import { requestIdHeader } from "./check_request_id.ts";
import {
  type HeldRecord,
  type IdempotencyRecord,
  type IdempotencyRecords,
  idempotencyWindowMs,
  type RecordScope,
  RecordState,
  type StoredAnswer,
} from "./idempotency_records.ts";
import type { DispatchResult } from "./queued_request.ts";
import { computeFingerprint, tryCreateRecordScope } from "./record_scope.ts";
import type { RecordTransfer } from "./record_transfer.ts";
import type { StandbyRecorder } from "./standby_recorder.ts";

/** Header on an answer that was given before. */
export const repeatHeader = "skylark-repeat";

/** What the guard uses. */
export interface IdempotencyGuardOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly records: IdempotencyRecords;
  readonly standbys: StandbyRecorder;
  readonly transfer: RecordTransfer;
}

/** One request at the guard. */
export interface GuardedDispatch {
  readonly request: RoutedRequest;
  readonly location: KeyLocation;
  readonly signal: AbortSignal;
  /** Queues and sends the request under an attempt identifier. */
  send(attemptId: string | undefined): Promise<DispatchResult>;
}

/** Runs requests at most once for each idempotency key. */
export class IdempotencyGuard {
  readonly #options: IdempotencyGuardOptions;
  /** The attempts of this daemon in progress, by their identifier. */
  readonly #runningAttempts = new Map<string, Promise<void>>();

  constructor(options: IdempotencyGuardOptions) {
    this.#options = options;
  }

  /** Runs the request, or answers it from what is known of an earlier one. */
  async run(dispatch: GuardedDispatch): Promise<DispatchResult> {
    const { request, location, signal } = dispatch;
    const scope = tryCreateRecordScope(request, location.shard);
    if (scope === undefined) return await dispatch.send(undefined);
    const deadlineSignal = new DeadlineSignal(this.#options.clock, {
      atMs: request.deadlineAtMs,
      parent: signal,
    });
    try {
      return await this.#runAtMostOnce(dispatch, { scope, deadlineSignal });
    } finally {
      deadlineSignal.dispose();
    }
  }

  async #runAtMostOnce(
    dispatch: GuardedDispatch,
    { scope, deadlineSignal }: {
      readonly scope: RecordScope;
      readonly deadlineSignal: DeadlineSignal;
    },
  ): Promise<DispatchResult> {
    const { records, transfer } = this.#options;
    for (;;) {
      const isReady = await transfer.waitUntilReady(
        scope,
        deadlineSignal.signal,
      );
      if (!isReady) {
        return err(createUnknownOutcomeError(scope, "records unreachable"));
      }
      const held = records.tryFind(scope);
      if (held === undefined) {
        return await this.#runFirstAttempt(dispatch, scope);
      }
      const repeated = await this.#resolveRepeat(held, {
        request: dispatch.request,
        deadlineSignal,
      });
      if (repeated !== undefined) return repeated;
    }
  }

  async #runFirstAttempt(
    dispatch: GuardedDispatch,
    scope: RecordScope,
  ): Promise<DispatchResult> {
    const { clock, random, records } = this.#options;
    if (records.isFull) {
      return err(
        new RouterError(MessageCode.Overloaded, "record request", {
          detail: "no room for another idempotency record",
        }),
      );
    }
    const record: IdempotencyRecord = {
      scope,
      attemptId: random.nextId(),
      fingerprint: computeFingerprint(dispatch.request),
      state: RecordState.InProgress,
      answer: undefined,
      isLocal: true,
      expiresAtMs: clock.nowMs() + idempotencyWindowMs,
    };
    records.put(record);
    const finished = this.#sendAndRecord(dispatch, record);
    this.#runningAttempts.set(record.attemptId, finished.then(() => {}));
    try {
      return await finished;
    } finally {
      this.#runningAttempts.delete(record.attemptId);
    }
  }

  async #sendAndRecord(
    dispatch: GuardedDispatch,
    record: IdempotencyRecord,
  ): Promise<DispatchResult> {
    const result = await dispatch.send(record.attemptId);
    const { server } = dispatch.location;
    if (result.isErr()) {
      const state = getStateAfterFailure(result.error.outcome);
      this.#storeOutcome({ ...record, state }, server.standbyDaemonId);
      return result;
    }
    const buffered = await bufferAnswer(result.value);
    const answer = buffered.isOk() ? buffered.value.stored : undefined;
    this.#storeOutcome(
      { ...record, state: RecordState.Answered, answer },
      server.standbyDaemonId,
    );
    return buffered.map(({ response }) => response);
  }

  #storeOutcome(
    record: IdempotencyRecord,
    standbyId: string | undefined,
  ): void {
    const { records, standbys } = this.#options;
    if (record.state === RecordState.Forgotten) records.forget(record);
    else records.put(record);
    standbys.sendWithoutWaiting(record, standbyId);
  }

  /** The result of a repeat; undefined when the request may run after all. */
  async #resolveRepeat(
    held: HeldRecord,
    { request, deadlineSignal }: {
      readonly request: RoutedRequest;
      readonly deadlineSignal: DeadlineSignal;
    },
  ): Promise<DispatchResult | undefined> {
    const { scope } = held;
    if (held.fingerprint !== computeFingerprint(request)) {
      return err(createKeyReuseError(scope));
    }
    const running = this.#runningAttempts.get(held.attemptId);
    if (running !== undefined) {
      await Promise.race([running, deadlineSignal.aborted]);
      return deadlineSignal.cause === undefined
        ? undefined
        : err(createInProgressError(scope, deadlineSignal.cause));
    }
    if (held.state !== RecordState.Answered) {
      return err(
        createUnknownOutcomeError(
          scope,
          "an earlier request with the same key",
        ),
      );
    }
    this.#options.metrics.count(CounterName.RepeatsAnswered);
    if (held.answer !== undefined) {
      return ok(createRepeatedAnswer(held.answer, request.requestId));
    }
    return err(
      new RouterError(MessageCode.RepeatAnswerGone, "repeat", {
        detail: scope.idempotencyKey,
        outcome: AttemptOutcome.Answered,
      }),
    );
  }
}

/** What a failed attempt leaves behind. */
function getStateAfterFailure(outcome: AttemptOutcome): RecordState {
  switch (outcome) {
    case AttemptOutcome.NotSent:
    case AttemptOutcome.RefusedUnrun:
      return RecordState.Forgotten;
    case AttemptOutcome.Unknown:
      return RecordState.Unknown;
    case AttemptOutcome.Answered:
      return RecordState.Answered;
    default:
      return assertNever(outcome);
  }
}

/** Builds the answer to a repeat from the stored one. */
function createRepeatedAnswer(
  answer: StoredAnswer,
  requestId: string,
): RoutedResponse {
  async function* body(): AsyncGenerator<Uint8Array> {
    await Promise.resolve();
    yield answer.body;
  }
  return {
    status: answer.status,
    headers: {
      ...answer.headers,
      [requestIdHeader]: requestId,
      [repeatHeader]: RecordState.Answered,
    },
    body: body(),
  };
}

function createUnknownOutcomeError(
  scope: RecordScope,
  detail: string,
): RouterError {
  return new RouterError(MessageCode.OutcomeUnknown, "repeat", {
    detail: `${detail} (${scope.idempotencyKey})`,
    outcome: AttemptOutcome.Unknown,
  });
}

function createInProgressError(
  scope: RecordScope,
  cause: AbortCause,
): RouterError {
  return new RouterError(MessageCode.RepeatInProgress, "repeat", {
    detail: `${scope.idempotencyKey}, ${cause}`,
    outcome: AttemptOutcome.Unknown,
  });
}

function createKeyReuseError(scope: RecordScope): RouterError {
  return new RouterError(MessageCode.RequestMalformed, "repeat", {
    detail: `idempotency key ${scope.idempotencyKey} was used for another ` +
      "request",
  });
}
