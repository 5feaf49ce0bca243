/** The contract of the gateway: accepts connections of callers and answers their requests. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

export abstract class Gateway extends Service {
  override readonly name = ServiceName.Gateway;

  /**
   * Shuts the gateway down gracefully: takes the daemon out of the load
   * balancer, then resolves when the in-flight requests have ended or the
   * grace time is over.
   */
  abstract leave(): Promise<void>;
}
