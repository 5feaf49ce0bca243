/** Encodes what services report into messages for the operators' tool. */
import type { MoveRecord } from "../../types/types.ts";
import type { LimitStatus } from "../admission/admission.ts";
import type { HistogramSummary } from "../metrics/metrics.ts";

/** Encodes one move. */
export function encodeMove(move: MoveRecord) {
  return {
    service: move.service,
    epoch: BigInt(move.epoch),
    version: BigInt(move.version),
    wallTimeMs: BigInt(Math.round(move.wallTimeMs)),
    reason: move.reason,
    fromServerId: move.fromServerId ?? "",
    toServerId: move.toServerId ?? "",
    shardCount: move.shardCount,
    key: move.key ?? "",
  };
}

/** Encodes the use of one limit. */
export function encodeLimit(limit: LimitStatus) {
  return {
    limitName: limit.limitName,
    customer: limit.customer,
    requestClass: limit.requestClass,
    windowKind: limit.windowKind,
    allowedCount: limit.allowedCount,
    localCount: limit.localCount,
    usedCount: limit.usedCount,
  };
}

/** Encodes one histogram's summary. */
export function encodeHistogram(summary: HistogramSummary) {
  return { ...summary, count: BigInt(summary.count) };
}
