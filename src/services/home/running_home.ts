/** Creates the tables and helpers of a running home service. */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { HomeContext } from "./home_context.ts";
import { IdempotencyGuard } from "./idempotency_guard.ts";
import { IdempotencyRecords } from "./idempotency_records.ts";
import { InFlightTable } from "./in_flight.ts";
import { registerRecordService } from "./record_service.ts";
import { RecordTransfer } from "./record_transfer.ts";
import { StandbyRecorder } from "./standby_recorder.ts";

/** The objects that the home service creates when it starts. */
export interface RunningHome extends HomeContext {
  readonly guard: IdempotencyGuard;
  readonly transfer: RecordTransfer;
  readonly services: ServiceLookup;
}

/** Creates the objects and registers the record RPCs. */
export function createRunningHome(services: ServiceLookup): RunningHome {
  const clock = services.get(ServiceName.Clock);
  const membership = services.get(ServiceName.Membership);
  const metrics = services.get(ServiceName.Metrics);
  const ownership = services.get(ServiceName.Ownership);
  const peers = services.get(ServiceName.PeerTransport);
  const random = services.get(ServiceName.Random);
  const records = new IdempotencyRecords(clock);
  const recordOptions = { clock, membership, metrics, peers, records };
  const standbys = new StandbyRecorder(recordOptions);
  const transfer = new RecordTransfer({
    ...recordOptions,
    ownership,
    standbys,
  });
  registerRecordService(services.get(ServiceName.PeerServer), {
    records,
    clock,
  });
  return {
    clock,
    log: services.get(ServiceName.Log),
    metrics,
    ownership,
    transport: services.get(ServiceName.BackendTransport),
    inFlight: new InFlightTable(clock, () => membership.self().daemonId),
    standbys,
    transfer,
    guard: new IdempotencyGuard({
      clock,
      random,
      metrics,
      records,
      standbys,
      transfer,
    }),
    services,
  };
}
