/** The contract of the entry service, which runs the callers' listener. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** Accepts callers' requests. */
export abstract class Entry extends Service {
  override readonly name = ServiceName.Entry;

  /** The port of the callers' listener; 0 before the service has started. */
  abstract port(): number;
}
