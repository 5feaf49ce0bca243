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
import { computeFingerprint, createScope } from "./record_scope.ts";
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
  readonly #running = new Map<string, Promise<void>>();

  constructor(options: IdempotencyGuardOptions) {
    this.#options = options;
  }

  /** Runs the request, or answers it from what is known of an earlier one. */
  async run(dispatch: GuardedDispatch): Promise<DispatchResult> {
    const { request, location, signal } = dispatch;
    const scope = createScope(request, location.shard);
    if (scope === undefined) return await dispatch.send(undefined);
    const limit = new DeadlineSignal(this.#options.clock, {
      atMs: request.deadlineAtMs,
      parent: signal,
    });
    try {
      return await this.#runOnce(dispatch, { scope, limit });
    } finally {
      limit.dispose();
    }
  }

  async #runOnce(
    dispatch: GuardedDispatch,
    { scope, limit }: {
      readonly scope: RecordScope;
      readonly limit: DeadlineSignal;
    },
  ): Promise<DispatchResult> {
    const { records, transfer } = this.#options;
    for (;;) {
      const isReady = await transfer.waitUntilReady(scope, limit.signal);
      if (!isReady) return err(createUnknown(scope, "records unreachable"));
      const held = records.tryFind(scope);
      if (held === undefined) return await this.#runFirst(dispatch, scope);
      const repeated = await this.#resolveRepeat(held, {
        request: dispatch.request,
        limit,
      });
      if (repeated !== undefined) return repeated;
    }
  }

  async #runFirst(
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
    this.#running.set(record.attemptId, finished.then(() => {}));
    try {
      return await finished;
    } finally {
      this.#running.delete(record.attemptId);
    }
  }

  async #sendAndRecord(
    dispatch: GuardedDispatch,
    record: IdempotencyRecord,
  ): Promise<DispatchResult> {
    const result = await dispatch.send(record.attemptId);
    const { server } = dispatch.location;
    if (result.isErr()) {
      const state = stateAfter(result.error.outcome);
      this.#finish({ ...record, state }, server.standbyDaemonId);
      return result;
    }
    const buffered = await bufferAnswer(result.value);
    const answer = buffered.isOk() ? buffered.value.stored : undefined;
    this.#finish(
      { ...record, state: RecordState.Answered, answer },
      server.standbyDaemonId,
    );
    return buffered.map(({ response }) => response);
  }

  #finish(record: IdempotencyRecord, standbyId: string | undefined): void {
    const { records, standbys } = this.#options;
    if (record.state === RecordState.Forgotten) records.forget(record);
    else records.put(record);
    standbys.copy(record, standbyId);
  }

  /** The result of a repeat; undefined when the request may run after all. */
  async #resolveRepeat(
    held: HeldRecord,
    { request, limit }: {
      readonly request: RoutedRequest;
      readonly limit: DeadlineSignal;
    },
  ): Promise<DispatchResult | undefined> {
    const { scope } = held;
    if (held.fingerprint !== computeFingerprint(request)) {
      return err(createMisuse(scope));
    }
    const running = this.#running.get(held.attemptId);
    if (running !== undefined) {
      await Promise.race([running, limit.aborted]);
      return limit.cause === undefined
        ? undefined
        : err(createInProgress(scope, limit.cause));
    }
    if (held.state !== RecordState.Answered) {
      return err(createUnknown(scope, "an earlier request with the same key"));
    }
    this.#options.metrics.count(CounterName.RepeatsAnswered);
    if (held.answer !== undefined) {
      return ok(replay(held.answer, request.requestId));
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
function stateAfter(outcome: AttemptOutcome): RecordState {
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
function replay(answer: StoredAnswer, requestId: string): RoutedResponse {
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

function createUnknown(scope: RecordScope, detail: string): RouterError {
  return new RouterError(MessageCode.OutcomeUnknown, "repeat", {
    detail: `${detail} (${scope.idempotencyKey})`,
    outcome: AttemptOutcome.Unknown,
  });
}

function createInProgress(scope: RecordScope, cause: AbortCause): RouterError {
  return new RouterError(MessageCode.RepeatInProgress, "repeat", {
    detail: `${scope.idempotencyKey}, ${cause}`,
    outcome: AttemptOutcome.Unknown,
  });
}

function createMisuse(scope: RecordScope): RouterError {
  return new RouterError(MessageCode.RequestMalformed, "repeat", {
    detail: `idempotency key ${scope.idempotencyKey} was used for another ` +
      "request",
  });
}
