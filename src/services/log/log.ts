/** The contract of the log service: lines for changes of state only. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** Facts attached to a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes structured log lines. */
export abstract class Log extends Service {
  override readonly name = ServiceName.Log;

  /** Records a change of state. */
  abstract info(message: string, fields?: LogFields): void;

  /** Records a change of state that an operator should look at. */
  abstract warn(message: string, fields?: LogFields): void;

  /** Records a failure that the daemon cannot mend by itself. */
  abstract error(message: string, fields?: LogFields): void;
}
