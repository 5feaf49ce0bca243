/** A log that records its lines for assertions. */
import type { LogEvent, LogFields } from "../diagnostics/log_events.ts";
import { Log } from "../services/log/log.ts";

/** One line with the fields of its event. */
export interface SilentLogLine {
  readonly event: LogEvent;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Records log lines in memory. */
export class SilentLog extends Log {
  readonly lines: SilentLogLine[] = [];

  override write<E extends LogEvent>(event: E, fields?: LogFields<E>): void {
    this.lines.push({ event, fields: { ...fields } });
  }
}
