/** The contract of the entry service: the callers' listener. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** Accepts callers' requests. */
export abstract class Entry extends Service {
  override readonly name = ServiceName.Entry;

  /** The port callers connect to; 0 before the service started. */
  abstract port(): number;
}
