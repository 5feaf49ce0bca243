/**
 * Time, as every service sees it. Nothing else in the code base reads a clock
 * or sets a timer, so that a daemon can run on virtual time.
 */
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";

/** Monotonic and wall time, and waiting. */
export abstract class Clock extends Service {
  override readonly name = ServiceName.Clock;

  /** Monotonic time in milliseconds; keeps counting while the process is frozen. */
  abstract nowMs(): number;

  /** Wall time in milliseconds since the Unix epoch; may jump. */
  abstract wallTimeMs(): number;

  /**
   * Resolves after `durationMs`, or as soon as `signal` aborts. Never rejects;
   * the caller checks the signal.
   */
  abstract sleep(durationMs: number, signal?: AbortSignal): Promise<void>;

  /** Like `sleep`, but never keeps the process alive by itself. */
  abstract after(durationMs: number, action: () => void): CancelTimer;
}

/** Cancels a timer; has no effect once the timer fired. */
export type CancelTimer = () => void;
