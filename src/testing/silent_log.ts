/** A log that keeps its lines for the test to look at. */
import { Log, type LogFields } from "../services/log/log.ts";

/** Keeps events. */
export class SilentLog extends Log {
  readonly lines: { readonly event: string; readonly fields: LogFields }[] = [];

  override info(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  override warn(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  override error(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }
}
