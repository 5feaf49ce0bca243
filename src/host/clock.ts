/**
 * The contract of the clock. Services read time and set timers only through it,
 * so that tests can run a daemon on virtual time.
 */
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";

/** Monotonic time, wall time and timers. */
export abstract class Clock extends Service {
  override readonly name = ServiceName.Clock;

  /** Monotonic time in milliseconds; advances while the process is stopped. */
  abstract nowMs(): number;

  /** Wall time in milliseconds since the Unix epoch; may jump in either direction. */
  abstract wallTimeMs(): number;

  /**
   * Resolves after `durationMs`, or as soon as `signal` aborts. Never rejects;
   * the caller checks the signal.
   */
  abstract sleep(durationMs: number, signal?: AbortSignal): Promise<void>;

  /** Runs `action` after `durationMs`; the timer does not keep the process alive. */
  abstract after(durationMs: number, action: () => void): CancelTimer;
}

/** Cancels a timer; has no effect after the timer has fired. */
export type CancelTimer = () => void;
