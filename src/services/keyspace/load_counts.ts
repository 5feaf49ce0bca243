/** Counts requests by key until the next load report. */
import { bucketOf } from "./key_load.ts";
import { type LoadReport, LoadReports } from "./load_reports.ts";

/** Implements `LoadReports` for this daemon. */
export class LoadCounts extends LoadReports {
  readonly #requestCounts = new Map<string, Map<number, number>>();

  override noteRequest(service: string, key: number): void {
    let counts = this.#requestCounts.get(service);
    if (counts === undefined) {
      counts = new Map();
      this.#requestCounts.set(service, counts);
    }
    const bucket = bucketOf(key);
    counts.set(bucket, (counts.get(bucket) ?? 0) + 1);
  }

  override takeReport(): LoadReport {
    const report: LoadReport = {
      keys: Object.fromEntries(
        [...this.#requestCounts].map((
          [service, counts],
        ) => [service, [...counts]]),
      ),
    };
    this.#requestCounts.clear();
    return report;
  }
}
