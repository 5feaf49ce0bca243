/**
 * One attempt while it runs: its place among the server's in-flight requests,
 * and its cancellation at the deadline or when the caller disconnects.
 */
import type { Clock } from "../../host/clock.ts";
import type { ServerEntry } from "../../types/routing.ts";
import type { ServerCandidate } from "./choose_server.ts";
import { isRepeatable, type RoutedCall } from "./dispatch.ts";

/** An attempt that has not ended. */
export class RunningAttempt {
  readonly sentAtMs: number;
  /** The estimated load of the server without this request. */
  readonly loadAtSend: number;
  /** Whether any byte of the request was sent. */
  wasSent = false;
  readonly #abortController = new AbortController();
  readonly #call: RoutedCall;
  readonly #candidate: ServerCandidate;
  readonly #cancelTimer: () => void;
  readonly #onDisconnect: () => void;

  constructor(clock: Clock, call: RoutedCall, candidate: ServerCandidate) {
    this.#call = call;
    this.#candidate = candidate;
    this.sentAtMs = clock.nowMs();
    this.loadAtSend = candidate.statistics.estimateLoad(this.sentAtMs);
    candidate.statistics.inFlightCount += 1;
    this.#cancelTimer = clock.after(this.timeoutMs, () => this.abort());
    // A non-idempotent request that was sent is not aborted when its caller
    // disconnects, since its outcome would then be unknown.
    this.#onDisconnect = () => {
      if (isRepeatable(call) || !this.wasSent) this.abort();
    };
    call.disconnectSignal.addEventListener("abort", this.#onDisconnect);
  }

  get server(): ServerEntry {
    return this.#candidate.server;
  }

  get timeoutMs(): number {
    return this.#call.deadlineAtMs - this.sentAtMs;
  }

  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  /** Closes the connection to the server. */
  abort(): void {
    this.#abortController.abort();
  }

  /** Removes the request from the server's in-flight requests. */
  end(): void {
    this.#cancelTimer();
    this.#call.disconnectSignal
      .removeEventListener("abort", this.#onDisconnect);
    this.#candidate.statistics.inFlightCount -= 1;
  }
}
