/**
 * Keeps the sync and lease tasks running when a step throws, for example on a
 * row that cannot be decoded. The failure is logged, and the task repeats the
 * step at its next interval.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import { MessageCode } from "../../diagnostics/messages.ts";
import { toRouterError } from "../../types/errors.ts";
import type { ControlState } from "./control_state.ts";

/** Runs a step of a task and logs an error that the step throws. */
export async function guardStep(
  state: ControlState,
  step: string,
  action: () => Promise<void>,
): Promise<void> {
  try {
    await action();
  } catch (error) {
    const failure = toRouterError(error, MessageCode.Internal, { step });
    state.log.write(LogEvent.StepFailed, { step, error: failure.message });
  }
}
