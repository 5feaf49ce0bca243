/**
 * The contract of the transport to other daemons. Protocol modules build typed
 * clients on its Connect transports; the delivery service forwards requests to
 * their home daemon through it.
 */
import type { Transport } from "@connectrpc/connect";
import type { Result } from "neverthrow";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { RouterError } from "../types/errors.ts";
import type {
  KeyLocation,
  RoutedRequest,
  RoutedResponse,
} from "../types/types.ts";

/** Connects to peers by their address, `host:port`. */
export abstract class PeerTransport extends Service {
  override readonly name = ServiceName.PeerTransport;

  /** Returns a Connect transport that authenticates this daemon to the peer. */
  abstract connectTo(address: string): Transport;

  /** Sends a request to its home daemon and streams the answer. */
  abstract forward(
    address: string,
    request: RoutedRequest,
    options: { readonly location: KeyLocation; readonly signal: AbortSignal },
  ): Promise<Result<RoutedResponse, RouterError>>;
}
