/** The contract of load reports: which keys this daemon was asked for. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** Counts requests by key and reports them to the key granter. */
export abstract class LoadReports extends Service {
  override readonly name = ServiceName.LoadReports;

  /** Counts one request. */
  abstract note(service: string, key: number): void;
}
