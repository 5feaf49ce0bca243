/**
 * Connections to other daemons. Protocol modules ask for a Connect transport
 * to a peer and build typed clients on it; the request path asks it to
 * forward a request to its home daemon.
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

/** Reaches peers by their address, `host:port`. */
export abstract class PeerTransport extends Service {
  override readonly name = ServiceName.PeerTransport;

  /** A Connect transport that authenticates itself to the peer. */
  abstract connectTo(address: string): Transport;

  /** Sends a request to its home daemon and streams the answer back. */
  abstract forward(
    address: string,
    request: RoutedRequest,
    options: { readonly location: KeyLocation; readonly signal: AbortSignal },
  ): Promise<Result<RoutedResponse, RouterError>>;
}
