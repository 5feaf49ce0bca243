/** The contract of load reports, which tell the key granter the load of keys and servers that this daemon has measured. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** What a daemon has counted since its last report. */
export interface LoadReport {
  /** Requests by service and bucket of the key space. */
  readonly keys: Readonly<
    Record<string, readonly (readonly [bucket: number, count: number])[]>
  >;
  /** Number of answers and sum of their service times, by incarnation of the server. */
  readonly work: Readonly<
    Record<string, readonly [count: number, totalMs: number]>
  >;
}

/** Counts requests by key, and sums service times by server, for the key granter. */
export abstract class LoadReports extends Service {
  override readonly name = ServiceName.LoadReports;

  /** Counts one request. */
  abstract noteRequest(service: string, key: number): void;

  /** Counts an answer to a request that did not wait for a slot of the server, and adds its service time. */
  abstract noteServiceTime(incarnation: string, serviceTimeMs: number): void;

  /** Returns what was counted since the last call. */
  abstract takeReport(): LoadReport;
}
