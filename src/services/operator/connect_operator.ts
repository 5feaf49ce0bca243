/** Answers the operators' tool over Connect. */
import { Code, ConnectError } from "@connectrpc/connect";
import { OperatorService } from "../../gen/skylarkridge/v1/operator_pb.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { Operator } from "./operator.ts";

/** Registers the operator service with the peer server. */
export class ConnectOperator extends Operator {
  override get needs(): readonly ServiceName[] {
    return [ServiceName.PeerServer, ServiceName.Ownership];
  }

  override start(services: ServiceLookup): Promise<void> {
    services.get(ServiceName.PeerServer).addService(OperatorService, {
      locateKey: ({ service, key }) => locateKey(services, { service, key }),
    });
    return Promise.resolve();
  }
}

function locateKey(
  services: ServiceLookup,
  { service, key }: { readonly service: string; readonly key: string },
) {
  const located = services.get(ServiceName.Ownership).locate(service, key);
  if (located.isErr()) {
    throw new ConnectError(located.error.message, Code.NotFound);
  }
  const { shard, server, fence, assignmentVersion } = located.value;
  return {
    shard,
    serverId: server.serverId,
    homeDaemonId: server.homeDaemonId,
    fence: BigInt(fence),
    assignmentVersion: BigInt(assignmentVersion),
  };
}
