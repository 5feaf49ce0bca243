/**
 * The contract of the peer server: the listener for other daemons and for the
 * operators' tool, separate from the callers' listener.
 */
import type { ServiceImpl } from "@connectrpc/connect";
import type { DescService } from "@bufbuild/protobuf";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** Accepts authenticated calls from peers and from the operators' tool. */
export abstract class PeerServer extends Service {
  override readonly name = ServiceName.PeerServer;

  /** Adds a Connect service; may be called by any service that starts later. */
  abstract addConnectService<S extends DescService>(
    description: S,
    implementation: Partial<ServiceImpl<S>>,
  ): void;
}
