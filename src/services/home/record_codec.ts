/** Encodes idempotency records for the RPCs between daemons. */
import { create } from "@bufbuild/protobuf";
import {
  type IdempotencyRecord as RecordMessage,
  IdempotencyRecordSchema,
  RecordState as RecordStateCode,
} from "../../gen/skylarkridge/v1/delivery_pb.ts";
import { assertNever } from "../../types/errors.ts";
import {
  type IdempotencyRecord,
  RecordState,
  type StoredAnswer,
} from "./idempotency_records.ts";

/**
 * Encodes a record; its expiry is sent as a remaining time, as clocks differ
 * between daemons.
 */
export function encodeRecord(
  record: IdempotencyRecord,
  nowMs: number,
): RecordMessage {
  return create(IdempotencyRecordSchema, {
    ...record.scope,
    attemptId: record.attemptId,
    fingerprint: record.fingerprint,
    state: encodeState(record.state),
    ...(record.answer === undefined ? {} : { answer: { ...record.answer } }),
    remainingMs: record.expiresAtMs - nowMs,
  });
}

/** Decodes a record; an unspecified state counts as unknown. */
export function decodeRecord(
  message: RecordMessage,
  nowMs: number,
): IdempotencyRecord {
  const { service, shard, key, customer, idempotencyKey } = message;
  return {
    scope: { service, shard, key, customer, idempotencyKey },
    attemptId: message.attemptId,
    fingerprint: message.fingerprint,
    state: decodeState(message.state),
    answer: decodeAnswer(message),
    isLocal: false,
    expiresAtMs: nowMs + message.remainingMs,
  };
}

function decodeAnswer({ answer }: RecordMessage): StoredAnswer | undefined {
  if (answer === undefined) return undefined;
  const { status, headers, body } = answer;
  return { status, headers, body };
}

function encodeState(state: RecordState): RecordStateCode {
  switch (state) {
    case RecordState.InProgress:
      return RecordStateCode.IN_PROGRESS;
    case RecordState.Answered:
      return RecordStateCode.ANSWERED;
    case RecordState.Unknown:
      return RecordStateCode.UNKNOWN;
    case RecordState.Forgotten:
      return RecordStateCode.FORGOTTEN;
    default:
      return assertNever(state);
  }
}

function decodeState(code: RecordStateCode): RecordState {
  switch (code) {
    case RecordStateCode.IN_PROGRESS:
      return RecordState.InProgress;
    case RecordStateCode.ANSWERED:
      return RecordState.Answered;
    case RecordStateCode.FORGOTTEN:
      return RecordState.Forgotten;
    case RecordStateCode.UNKNOWN:
    case RecordStateCode.UNSPECIFIED:
      return RecordState.Unknown;
    default:
      return assertNever(code);
  }
}
