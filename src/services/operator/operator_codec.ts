/** Encodes records of other services as messages to the operators' tool. */
import type { MoveRecord } from "../../types/types.ts";
import type { LimitStatus } from "../admission/admission.ts";
import type { HistogramSummary } from "../metrics/metrics.ts";

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

export function encodeHistogram(summary: HistogramSummary) {
  return { ...summary, count: BigInt(summary.count) };
}
