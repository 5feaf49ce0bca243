/** Lets other daemons store and fetch idempotency records over Connect. */
import {
  DeliveryPeers,
  type FetchRecordsRequest,
} from "../../gen/skylarkridge/v1/delivery_pb.ts";
import type { Clock } from "../../host/clock.ts";
import type { PeerServer } from "../peers/peer_server.ts";
import type { IdempotencyRecords, RecordScope } from "./idempotency_records.ts";
import { decodeRecord, encodeRecord } from "./record_codec.ts";

const fetchPageSize = 200;

/** Registers the RPCs by which other daemons store and fetch records. */
export function registerRecordService(
  server: PeerServer,
  { records, clock }: {
    readonly records: IdempotencyRecords;
    readonly clock: Clock;
  },
): void {
  server.addConnectService(DeliveryPeers, {
    putRecords(request) {
      const nowMs = clock.nowMs();
      for (const message of request.records) {
        records.merge(decodeRecord(message, nowMs));
      }
      return {};
    },
    fetchRecords(request) {
      const nowMs = clock.nowMs();
      const page = records.list(createScopeFilter(request), {
        afterSequence: request.afterSequence,
        limit: fetchPageSize,
      });
      return {
        records: page.map((record) => encodeRecord(record, nowMs)),
        lastSequence: page.at(-1)?.sequence ?? request.afterSequence,
        hasMore: page.length === fetchPageSize,
      };
    },
  });
}

function createScopeFilter(
  request: FetchRecordsRequest,
): (scope: RecordScope) => boolean {
  const shards = new Set(request.shards);
  const keys = new Set(request.keys);
  return (scope) =>
    scope.service === request.service &&
    (shards.has(scope.shard) || keys.has(scope.key));
}
