/** Counts in memory until they are reported. */
import { bucketOf } from "./key_load.ts";
import { type LoadReport, LoadReports } from "./load_reports.ts";

/** Counts what this daemon does. */
export class LoadCounts extends LoadReports {
  readonly #counts = new Map<string, Map<number, number>>();
  readonly #work = new Map<string, [count: number, totalMs: number]>();

  override noteRequest(service: string, key: number): void {
    let counts = this.#counts.get(service);
    if (counts === undefined) {
      counts = new Map();
      this.#counts.set(service, counts);
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

  override take(): LoadReport {
    const report: LoadReport = {
      keys: Object.fromEntries(
        [...this.#counts].map(([service, counts]) => [service, [...counts]]),
      ),
      work: Object.fromEntries(this.#work),
    };
    this.#counts.clear();
    this.#work.clear();
    return report;
  }
}
