/** The contract of load reports: which keys and servers this daemon used. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";

/** What a daemon has counted since its last report. */
export interface LoadReport {
  /** Requests for parts of the key space, by service. */
  readonly keys: Readonly<
    Record<string, readonly (readonly [bucket: number, count: number])[]>
  >;
  /** Answers of servers by incarnation, and the sum of their work times. */
  readonly work: Readonly<
    Record<string, readonly [count: number, totalMs: number]>
  >;
}

/** Counts requests by key, and work by server, for the key granter. */
export abstract class LoadReports extends Service {
  override readonly name = ServiceName.LoadReports;

  /** Counts one request. */
  abstract noteRequest(service: string, key: number): void;

  /** Counts one answer that did not wait for a slot. */
  abstract noteWork(incarnation: string, workMs: number): void;

  /** Everything since the last call. */
  abstract take(): LoadReport;
}
