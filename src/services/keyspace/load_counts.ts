/** Counts requests by key and sums service times by server until the next load report. */
import { bucketOf } from "./key_load.ts";
import { type LoadReport, LoadReports } from "./load_reports.ts";

/** Implements `LoadReports` for this daemon. */
export class LoadCounts extends LoadReports {
  readonly #requestCounts = new Map<string, Map<number, number>>();
  readonly #serviceTimes = new Map<string, [count: number, totalMs: number]>();

  override noteRequest(service: string, key: number): void {
    let counts = this.#requestCounts.get(service);
    if (counts === undefined) {
      counts = new Map();
      this.#requestCounts.set(service, counts);
    }
    const bucket = bucketOf(key);
    counts.set(bucket, (counts.get(bucket) ?? 0) + 1);
  }

  override noteServiceTime(incarnation: string, serviceTimeMs: number): void {
    const serviceTimes = this.#serviceTimes.get(incarnation);
    if (serviceTimes === undefined) {
      this.#serviceTimes.set(incarnation, [1, serviceTimeMs]);
      return;
    }
    serviceTimes[0] += 1;
    serviceTimes[1] += serviceTimeMs;
  }

  override takeReport(): LoadReport {
    const report: LoadReport = {
      keys: Object.fromEntries(
        [...this.#requestCounts].map((
          [service, counts],
        ) => [service, [...counts]]),
      ),
      work: Object.fromEntries(this.#serviceTimes),
    };
    this.#requestCounts.clear();
    this.#serviceTimes.clear();
    return report;
  }
}
