/** Counts requests by key and sums work times by server until the next load report. */
import { bucketOf } from "./key_load.ts";
import { type LoadReport, LoadReports } from "./load_reports.ts";

/** Implements `LoadReports` for this daemon. */
export class LoadCounts extends LoadReports {
  readonly #requestCounts = new Map<string, Map<number, number>>();
  readonly #workTimes = new Map<string, [count: number, totalMs: number]>();

  override noteRequest(service: string, key: number): void {
    let counts = this.#requestCounts.get(service);
    if (counts === undefined) {
      counts = new Map();
      this.#requestCounts.set(service, counts);
    }
    const bucket = bucketOf(key);
    counts.set(bucket, (counts.get(bucket) ?? 0) + 1);
  }

  override noteWork(incarnation: string, workMs: number): void {
    const workTimes = this.#workTimes.get(incarnation);
    if (workTimes === undefined) {
      this.#workTimes.set(incarnation, [1, workMs]);
      return;
    }
    workTimes[0] += 1;
    workTimes[1] += workMs;
  }

  override takeReport(): LoadReport {
    const report: LoadReport = {
      keys: Object.fromEntries(
        [...this.#requestCounts].map((
          [service, counts],
        ) => [service, [...counts]]),
      ),
      work: Object.fromEntries(this.#workTimes),
    };
    this.#requestCounts.clear();
    this.#workTimes.clear();
    return report;
  }
}
