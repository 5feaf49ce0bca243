/** A request that waits for a slot of its backend server. */
import type { Result } from "neverthrow";
import type { DeadlineSignal } from "../../host/deadline_signal.ts";
import type { RouterError } from "../../types/errors.ts";
import type {
  KeyLocation,
  RoutedRequest,
  RoutedResponse,
} from "../../types/types.ts";

/** The result of one dispatch. */
export type DispatchResult = Result<RoutedResponse, RouterError>;

export interface QueuedRequestParts {
  readonly request: RoutedRequest;
  /**
   * The location when the request was queued; it is checked again before the
   * send.
   */
  readonly location: KeyLocation;
  readonly abort: DeadlineSignal;
  /**
   * Identifies the attempt in the idempotency records; undefined when it has no
   * record.
   */
  readonly attemptId: string | undefined;
  /** Local instant at which the request joined the queue. */
  readonly queuedAtMs: number;
}

/** A queued request and the promise of its result. */
export class QueuedRequest {
  readonly request: RoutedRequest;
  readonly location: KeyLocation;
  readonly abort: DeadlineSignal;
  readonly attemptId: string | undefined;
  readonly queuedAtMs: number;
  readonly result: Promise<DispatchResult>;
  #resolve: (result: DispatchResult) => void = () => {};

  constructor(parts: QueuedRequestParts) {
    this.request = parts.request;
    this.location = parts.location;
    this.abort = parts.abort;
    this.attemptId = parts.attemptId;
    this.queuedAtMs = parts.queuedAtMs;
    this.result = new Promise((resolve) => this.#resolve = resolve);
  }

  /** Resolves `result`; later calls have no effect. */
  settle(result: DispatchResult): void {
    this.#resolve(result);
  }
}
