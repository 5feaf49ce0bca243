/**
 * Runs a non-idempotent request with an idempotency key at most once. The first
 * request with a key stores a record before it is queued. A repeat waits for
 * the first request, and then receives the stored answer or an error that says
 * that the first request may have run.
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

/** Header of an answer that comes from the records and not from a new run. */
export const repeatHeader = "skylark-repeat";

export interface IdempotencyGuardOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly records: IdempotencyRecords;
  readonly standbys: StandbyRecorder;
  readonly transfer: RecordTransfer;
}

/** A request and the function that sends it. */
export interface GuardedDispatch {
  readonly request: RoutedRequest;
  readonly location: KeyLocation;
  readonly signal: AbortSignal;
  /** Queues and sends the request under an attempt identifier. */
  send(attemptId: string | undefined): Promise<DispatchResult>;
}

/** Runs at most one request for each idempotency key. */
export class IdempotencyGuard {
  readonly #options: IdempotencyGuardOptions;
  /** The attempts in progress on this daemon, by attempt identifier. */
  readonly #runningAttempts = new Map<string, Promise<void>>();

  constructor(options: IdempotencyGuardOptions) {
    this.#options = options;
  }

  /** Runs the request, or answers it from the record of an earlier one. */
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
        return err(createOutcomeUnknownError(scope, "records unreachable"));
      }
      const held = records.tryFind(scope);
      if (held === undefined) return await this.#runAttempt(dispatch, scope);
      const repeated = await this.#resolveRepeat(held, {
        request: dispatch.request,
        deadlineSignal,
      });
      if (repeated !== undefined) return repeated;
    }
  }

  async #runAttempt(
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
    standbys.queueCopy(record, standbyId);
  }

  /**
   * The result of a repeat; undefined when the attempt that was in progress has
   * finished, so that the record must be read again.
   */
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
        createOutcomeUnknownError(
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
      new RouterError(MessageCode.DuplicateAnswerExpired, "repeat", {
        detail: scope.idempotencyKey,
        outcome: AttemptOutcome.Answered,
      }),
    );
  }
}

/** The state of the record after a failed attempt. */
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

/** Creates the answer to a repeat from the stored answer. */
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

function createOutcomeUnknownError(
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
  return new RouterError(MessageCode.DuplicateInProgress, "repeat", {
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
