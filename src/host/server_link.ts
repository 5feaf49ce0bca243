/**
 * The contract of the connections to backend servers: callers' requests, key
 * commands (grants and releases) and health checks. Every request that is sent
 * ends in exactly one `SendEnding`.
 */
import type { Readable } from "node:stream";
import type { ReplayableBody } from "../streams/replayable_body.ts";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { KeyInterval, ServerEntry, ServerLoad } from "../types/routing.ts";

/** How one send of a request to a backend server ended. */
export enum SendEnding {
  /** The head of the backend server's answer to this request has arrived. */
  Answered = "answered",
  /** No connection could be established; no byte of the request was sent. */
  NotConnected = "not-connected",
  /** The backend server answered that it did not run the request. */
  NotRun = "not-run",
  /** Another backend server now has the address; it did not run the request. */
  WrongServer = "wrong-server",
  /**
   * The backend server answered with a status that callers take as "not run",
   * but did not state that; the request may have run.
   */
  AmbiguousRefusal = "ambiguous-refusal",
  /** The connection ended before an answer, or the answer was not to this request. */
  Broken = "broken",
  /** The sender aborted the request. */
  Cancelled = "cancelled",
}

/** A caller's request as it is sent to a backend server. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** End-to-end headers, name and value in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | ReplayableBody | undefined;
  readonly requestId: string;
  /** Time after which the backend server should stop working on the request. */
  readonly timeoutMs: number;
  /** A keep-alive connection that has been idle for longer is not used. */
  readonly maxIdleMs: number;
}

/** The head of an answer, with its body as a stream. */
export interface IncomingAnswer {
  readonly status: number;
  /** End-to-end headers, name and value in turn. */
  readonly headers: readonly string[];
  /** Undefined when the answer does not state its length. */
  readonly bodyBytes: number | undefined;
  /** Only the end of the connection marks the end of the body. */
  readonly endsWithConnection: boolean;
  readonly body: Readable;
}

/** The result of one send. */
export interface SendResult {
  readonly ending: SendEnding;
  /** Present when the ending is `Answered`. */
  readonly answer?: IncomingAnswer;
  /** Present when the backend server reported its load. */
  readonly load?: ServerLoad;
  /** The backend server announced that it is about to stop. */
  readonly isLeaving?: boolean;
  /** Time for which the backend server wants no requests from this daemon. */
  readonly pauseMs?: number;
  /**
   * How long the connection had been idle; present when a keep-alive connection
   * broke before any byte of an answer.
   */
  readonly idleMs?: number;
  /** Description for the log. */
  readonly detail?: string;
}

/** Permission for a backend server to serve a range of keys for a limited time. */
export interface KeyGrant extends KeyInterval {
  readonly fence: number;
  /** Duration of the hold, counted from the arrival at the backend server. */
  readonly holdMs: number;
  /** Token from the release by the previous holder; lets the new holder skip a cold start. */
  readonly handoverToken: string | undefined;
}

/** How a key command (a grant or a release) ended. */
export enum KeyCommandEnding {
  /** The command is in force. */
  Accepted = "accepted",
  /** The backend server has seen a higher fence. */
  Fenced = "fenced",
  /** The command was not carried out and will not be. */
  Refused = "refused",
  /** The command may be in force, now or later. */
  Unknown = "unknown",
}

/** The result of a key command. */
export interface KeyCommandResult {
  readonly ending: KeyCommandEnding;
  /** Present when a release returned a token. */
  readonly handoverToken?: string;
  /** The backend server announced that it is about to stop. */
  readonly isLeaving?: boolean;
  readonly detail?: string;
}

/** The result of a health check. */
export interface HealthCheckResult {
  readonly isHealthy: boolean;
  /** How much longer the backend server is cold; absent if it did not say so. */
  readonly coldLeftMs?: number;
  readonly load?: ServerLoad;
  /** The backend server announced that it is about to stop. */
  readonly isLeaving?: boolean;
  /** Time for which the backend server wants no requests from this daemon. */
  readonly pauseMs?: number;
  readonly detail?: string;
}

/** Options of a key command. */
export interface KeyCommandOptions {
  readonly timeoutMs: number;
  /**
   * Called right before the first byte is written; the command is not sent if
   * it returns false.
   */
  readonly mayStillSend: () => boolean;
}

/** Sends requests, key commands and health checks to backend servers. */
export abstract class ServerLink extends Service {
  override readonly name = ServiceName.ServerLink;

  /** Sends a request; an abort of the signal closes its connection. */
  abstract send(
    server: ServerEntry,
    request: OutgoingRequest,
    options: {
      readonly signal: AbortSignal;
      /** Called when the first byte has been written to a connection. */
      readonly onSent: () => void;
    },
  ): Promise<SendResult>;

  /** Grants a range of keys or renews the grant. */
  abstract grant(
    server: ServerEntry,
    grant: KeyGrant,
    options: KeyCommandOptions,
  ): Promise<KeyCommandResult>;

  /** Releases keys; resolves once requests for these keys have ended. */
  abstract release(
    server: ServerEntry,
    interval: KeyInterval & { readonly fence: number },
    options: KeyCommandOptions,
  ): Promise<KeyCommandResult>;

  /** Checks the health of a server. */
  abstract checkHealth(
    server: ServerEntry,
    options: { readonly path: string; readonly timeoutMs: number },
  ): Promise<HealthCheckResult>;
}
