/** The contract of the dispatch service: sends a routed request to a backend server. */
import type { Readable } from "node:stream";
import type { ReplayableBody } from "../../streams/replayable_body.ts";
import type { MemoryHold } from "../../streams/body_memory.ts";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { assertNever } from "../../types/errors.ts";
import { RequestKind, type Route } from "../../types/routing.ts";

/** A request with its route and the service that was chosen from the route's targets. */
export interface RoutedCall {
  readonly requestId: string;
  readonly route: Route;
  readonly service: string;
  /** Present for sharded services. */
  readonly key: number | undefined;
  readonly method: string;
  readonly path: string;
  /** End-to-end headers, name and value in turn. */
  readonly headers: readonly string[];
  /** A body in memory, or one of which a part is still to be read from the caller. */
  readonly body: Uint8Array | ReplayableBody | undefined;
  /** Monotonic instant at which the request arrived. */
  readonly arrivedAtMs: number;
  /** Monotonic instant at which the request times out. */
  readonly deadlineAtMs: number;
  /** Monotonic instant until which the caller waits for an answer, retries included. */
  readonly callerDeadlineAtMs: number;
  /** Aborts when the caller disconnects. */
  readonly disconnectSignal: AbortSignal;
  /** What is held of answers counts here; whoever creates the call releases it when the caller has the answer. */
  readonly answerMemory: MemoryHold;
  /** Whether the answer may mark its end by closing the caller's connection. */
  readonly mayCloseConnection: () => boolean;
}

/** How the delivery of a request ended. */
export enum DeliveryEnding {
  /** A backend server has answered. */
  Answered = "answered",
  /** The request has not run and will not. */
  NotRun = "not-run",
  /** The request may have run, but its answer was lost. */
  Unknown = "unknown",
  /** The deadline passed while the request was at a backend server. */
  TimedOut = "timed-out",
  /** The caller disconnected before there was an answer. */
  CallerLeft = "caller-left",
}

/** Why a request did not run or its answer was lost. */
export enum DeliveryReason {
  None = "none",
  NoServer = "no-server",
  Overloaded = "overloaded",
  /** Every server that could run the request is in an evacuated data centre. */
  Evacuated = "evacuated",
  KeyUnowned = "key-unowned",
  KeyMoving = "key-moving",
  OwnerUnreachable = "owner-unreachable",
  RetryBudget = "retry-budget",
  AttemptsSpent = "attempts-spent",
  /** The start of the body is no longer held, so that it cannot be sent again. */
  BodySpent = "body-spent",
  /** The owner of the key asked for a pause. */
  ServerPaused = "server-paused",
  /** The server is cold, and this daemon may not send to it now. */
  ServerCold = "server-cold",
  Deadline = "deadline",
  AnswerLost = "answer-lost",
  /** A backend server refused the request without stating that it has not run. */
  AmbiguousRefusal = "ambiguous-refusal",
}

/** A backend server's answer. */
export interface DeliveredAnswer {
  readonly status: number;
  /** End-to-end headers, name and value in turn. */
  readonly headers: readonly string[];
  /** The chunks of the whole body, or a stream if the body is too large to be buffered. */
  readonly body: readonly Uint8Array[] | Readable;
  /** Only the close of the connection marked the end of the body. */
  readonly endsWithConnection: boolean;
}

/** The result of dispatching one request. */
export interface DispatchOutcome {
  readonly ending: DeliveryEnding;
  readonly reason: DeliveryReason;
  readonly answer?: DeliveredAnswer;
  /** Delay before the caller should retry; for requests that did not run. */
  readonly retryAfterMs?: number;
  /** The server of the last attempt. */
  readonly server: string | undefined;
  /** Number of attempts of which at least one byte was sent. */
  readonly sendCount: number;
  /** Time for which the request waited for a server with room. */
  readonly queuedMs: number;
  /** Description of each attempt, for the log. */
  readonly trail: readonly string[];
}

export abstract class Dispatch extends Service {
  override readonly name = ServiceName.Dispatch;

  /** Delivers one request; never rejects. */
  abstract deliver(call: RoutedCall): Promise<DispatchOutcome>;
}

const firstFailureStatus = 500;

/** Whether an answer has a server error status (5xx). */
export function isFailure({ status }: DeliveredAnswer): boolean {
  return status >= firstFailureStatus;
}

/** Whether a request may run more than once. */
export function isRepeatable({ route }: RoutedCall): boolean {
  switch (route.kind) {
    case RequestKind.Idempotent:
    case RequestKind.Download:
      return true;
    case RequestKind.NonIdempotent:
    case RequestKind.Upload:
      return false;
    default:
      return assertNever(route.kind);
  }
}
