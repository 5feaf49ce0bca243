/**
 * Detects that the process was stalled, for example because the machine was
 * suspended or is short of processor time. Data that is read after a stall may be
 * old: a request is read before the end of its connection, although its caller
 * disconnected long before.
 */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../../host/clock.ts";

const heartbeatIntervalMs = 50;
/**
 * Time without a heartbeat that counts as a stall. It lies below the 500 ms for
 * which a request may still be served after its caller has disconnected.
 */
const stallThresholdMs = 250;
/** Time after a stall in which requests from before the stall are still read. */
const staleReadMs = 500;
/**
 * Turns of the event loop that it takes to read the end of a connection after
 * the request that precedes it.
 */
const connectionEndTurnCount = 2;

/** Detects stalls of this process by a heartbeat. */
export class StallDetector {
  readonly #clock: Clock;
  #lastHeartbeatAtMs: number;
  #staleReadEndsAtMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastHeartbeatAtMs = clock.nowMs();
  }

  /** Runs the heartbeat until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#lastHeartbeatAtMs = this.#checkStall();
      await this.#clock.sleep(heartbeatIntervalMs, signal);
    }
  }

  /**
   * Resolves at once, but after a stall only when the event loop has read the
   * ends of connections that follow requests already read.
   */
  async waitForConnectionEnds(): Promise<void> {
    if (this.#checkStall() >= this.#staleReadEndsAtMs) return;
    for (let turn = 0; turn < connectionEndTurnCount; turn++) await nextTurn();
  }

  /** Checks for a stall; returns the present instant. */
  #checkStall(): number {
    const nowMs = this.#clock.nowMs();
    if (nowMs - this.#lastHeartbeatAtMs >= stallThresholdMs) {
      this.#staleReadEndsAtMs = nowMs + staleReadMs;
    }
    return nowMs;
  }
}
