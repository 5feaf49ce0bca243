/** A log that records its lines for assertions. */
import type { LogEvent, LogFields } from "../diagnostics/log_events.ts";
import { Log } from "../services/log/log.ts";

/** One line with the fields of its event. */
export interface RecordedLogLine {
  readonly event: LogEvent;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Records log lines in memory. */
export class RecordingLog extends Log {
  readonly lines: RecordedLogLine[] = [];

  override write<E extends LogEvent>(event: E, fields?: LogFields<E>): void {
    this.lines.push({ event, fields: { ...fields } });
  }
}
