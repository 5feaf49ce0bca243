/**
 * The contract for selecting the server of a request, without waiting: how the
 * request finds its server depends on whether its service is divided by key.
 */
import type { ServerCandidate } from "./choose_server.ts";
import type { DeliveryReason, RoutedCall } from "./dispatch.ts";

/** The server for the next attempt, or why there is none. */
export type Selection =
  | { readonly choice: ServerCandidate }
  | {
    readonly reason: DeliveryReason;
    readonly retryAfterMs: number;
    /** Explanation for the log. */
    readonly detail?: string;
  };

/** The servers to which a request was sent before, by id. */
export interface TriedServers {
  /** Not to be used again for the request. */
  readonly tried: ReadonlySet<string>;
  /** Those whose connection ended without an answer. */
  readonly broken: ReadonlySet<string>;
}

/** Selects servers from what this daemon knows at the moment. */
export abstract class ServerSelector {
  abstract select(call: RoutedCall, servers: TriedServers): Selection;
}
