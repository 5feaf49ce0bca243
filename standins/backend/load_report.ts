/** Reports the health and load of a stand-in, optionally out of date or false. */
import type { BackendReport } from "../../src/host/backend_transport.ts";
import type { Behaviour } from "./behaviour.ts";

interface DatedReport {
  readonly atMs: number;
  readonly report: BackendReport;
}

/** Keeps recent reports, so that an older one can be returned. */
export class LoadReporter {
  #reports: DatedReport[] = [];

  /** Records the actual report and returns the report for the endpoint. */
  report(actual: BackendReport, behaviour: Behaviour): BackendReport {
    const nowMs = performance.now();
    this.#reports.push({ atMs: nowMs, report: actual });
    const shownAtMs = nowMs - behaviour.reportLagMs;
    const shownIndex = this.#reports.findLastIndex(({ atMs }) =>
      atMs <= shownAtMs
    );
    this.#reports = this.#reports.slice(Math.max(0, shownIndex));
    const shown = this.#reports[0]?.report ?? actual;
    return {
      ...shown,
      isHealthy: behaviour.reportedHealthy ?? shown.isHealthy,
      busySlots: behaviour.reportedBusySlots ?? shown.busySlots,
    };
  }
}
