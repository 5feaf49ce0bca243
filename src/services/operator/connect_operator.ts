/** Serves the operators' tool over Connect, with the state of this daemon. */
import { Code, ConnectError } from "@connectrpc/connect";
import { LogEvent } from "../../diagnostics/log_events.ts";
import { OperatorService } from "../../gen/skylarkridge/v1/operator_pb.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { explainRefusal } from "./explain_refusal.ts";
import { type KeyQuery, locateKey } from "./locate_key.ts";
import { Operator } from "./operator.ts";
import { encodeHistogram, encodeLimit, encodeMove } from "./operator_codec.ts";
import { createStatus } from "./operator_status.ts";

/** Registers the operator service with the peer server. */
export class ConnectOperator extends Operator {
  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.PeerServer,
      ServiceName.Clock,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.Membership,
      ServiceName.Ownership,
      ServiceName.Home,
      ServiceName.Admission,
      ServiceName.RequestPipeline,
      ServiceName.Lifecycle,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    services.get(ServiceName.PeerServer).addConnectService(OperatorService, {
      locateKey: (query) => answerLocateKey(services, query),
      getStatus: () => createStatus(services),
      listMoves: ({ service }) => ({ moves: listMoves(services, service) }),
      listLimits: ({ customer }) => ({
        limits: listLimits(services, customer),
      }),
      listHistograms: () => ({
        histograms: services.get(ServiceName.Metrics).histograms()
          .map(encodeHistogram),
      }),
      listCounters: () => ({ counters: listCounters(services) }),
      explainRequest: ({ requestId }) =>
        answerExplainRequest(services, requestId),
      drainDaemon: () => answerDrainDaemon(services),
    });
    return Promise.resolve();
  }
}

function answerLocateKey(services: ServiceLookup, query: KeyQuery) {
  const located = locateKey(services, query);
  if (located.isOk()) return located.value;
  throw new ConnectError(located.error.message, Code.NotFound);
}

function listMoves(services: ServiceLookup, service: string) {
  return services.get(ServiceName.Ownership).recentMoves()
    .filter((move) => service === "" || move.service === service)
    .map(encodeMove);
}

function listLimits(services: ServiceLookup, customer: string) {
  return services.get(ServiceName.Admission).status()
    .filter((limit) => customer === "" || limit.customer === customer)
    .map(encodeLimit);
}

function listCounters(services: ServiceLookup) {
  const counters = services.get(ServiceName.Metrics).counters();
  return [...counters].map(([name, count]) => ({ name, count: BigInt(count) }));
}

function answerExplainRequest(services: ServiceLookup, requestId: string) {
  const record = services.get(ServiceName.RequestPipeline)
    .tryFindRefusal(requestId);
  if (record === undefined) return {};
  return { explanation: explainRefusal(services, record) };
}

function answerDrainDaemon(services: ServiceLookup) {
  services.get(ServiceName.Log).write(LogEvent.DrainOrdered);
  services.get(ServiceName.Lifecycle).beginDraining();
  return {};
}
