/** The contract of the gateway: accepts callers and answers them. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** Accepts callers. */
export abstract class Gateway extends Service {
  override readonly name = ServiceName.Gateway;

  /** Takes the daemon out of the balancer, finishes its work, then resolves. */
  abstract leave(): Promise<void>;
}
