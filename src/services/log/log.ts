/** The contract of the log service, which writes one line for each event. */
import type { LogEvent, LogFields } from "../../diagnostics/log_events.ts";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** Writes structured log lines. */
export abstract class Log extends Service {
  override readonly name = ServiceName.Log;

  /** Writes a line for an event, with the fields that the table of log events allows for it. */
  abstract write<E extends LogEvent>(event: E, fields?: LogFields<E>): void;
}
