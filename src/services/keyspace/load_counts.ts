/** Counts requests and work in memory until the next load report. */
import { bucketOf } from "./key_load.ts";
import { type LoadReport, LoadReports } from "./load_reports.ts";

/** Implements `LoadReports` for this daemon. */
export class LoadCounts extends LoadReports {
  readonly #requestCounts = new Map<string, Map<number, number>>();
  readonly #work = new Map<string, [count: number, totalMs: number]>();

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
    const work = this.#work.get(incarnation);
    if (work === undefined) {
      this.#work.set(incarnation, [1, workMs]);
      return;
    }
    work[0] += 1;
    work[1] += workMs;
  }

  override takeReport(): LoadReport {
    const report: LoadReport = {
      keys: Object.fromEntries(
        [...this.#requestCounts].map((
          [service, counts],
        ) => [service, [...counts]]),
      ),
      work: Object.fromEntries(this.#work),
    };
    this.#requestCounts.clear();
    this.#work.clear();
    return report;
  }
}
