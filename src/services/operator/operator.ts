/** The contract of the operator service. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** Serves the operators' tool on the peer listener. */
export abstract class Operator extends Service {
  override readonly name = ServiceName.Operator;
}
