/** The contract of load reports, which tell the key granter the load of keys that this daemon has measured. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** What a daemon has counted since its last report. */
export interface LoadReport {
  /** Requests by service and bucket of the key space. */
  readonly keys: Readonly<
    Record<string, readonly (readonly [bucket: number, count: number])[]>
  >;
}

/** Counts requests by key for the key granter. */
export abstract class LoadReports extends Service {
  override readonly name = ServiceName.LoadReports;

  /** Counts one request. */
  abstract noteRequest(service: string, key: number): void;

  /** Returns what was counted since the last call. */
  abstract takeReport(): LoadReport;
}
