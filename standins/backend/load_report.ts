/** Health and load as a stand-in reports them: late, or not true at all. */
import type { BackendReport } from "../../src/host/backend_transport.ts";
import type { Behaviour } from "./behaviour.ts";

interface DatedReport {
  readonly atMs: number;
  readonly report: BackendReport;
}

/** Keeps recent reports and shows an old one. */
export class LoadReporter {
  #reports: DatedReport[] = [];

  /** Notes what is true now and returns what the endpoint says. */
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
