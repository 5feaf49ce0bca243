/** Counts failed requests by cause, over the logs of any number of daemons. */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { LogLine } from "./log_line.ts";

/** Failed requests that have service, ending and reason in common. */
export interface FailureCause {
  readonly service: string;
  readonly ending: string;
  readonly reason: string;
  readonly count: number;
  /** The id of one of the requests, for `logs story`. */
  readonly exampleId: string;
}

const answeredEnding = "answered";
const firstFailureStatus = 500;

/** Counts failed requests; memory stays bounded, since there are few endings and reasons. */
export class FailureCauses {
  readonly #causes = new Map<string, FailureCause>();

  /** Adds the next line. */
  add(line: LogLine): void {
    if (line.event !== LogEvent.Request) return;
    const status = Number(line.status ?? 0);
    const isFailure = line.ending !== answeredEnding ||
      status >= firstFailureStatus;
    if (!isFailure) return;
    const service = String(line.service);
    const ending = String(line.ending);
    const reason = String(line.reason ?? `status ${status}`);
    const causeKey = JSON.stringify([service, ending, reason]);
    const known = this.#causes.get(causeKey);
    this.#causes.set(causeKey, {
      service,
      ending,
      reason,
      count: (known?.count ?? 0) + 1,
      exampleId: known?.exampleId ?? String(line.id),
    });
  }

  /** Returns the causes, the most frequent first. */
  list(): FailureCause[] {
    return [...this.#causes.values()].sort((a, b) => b.count - a.count);
  }
}
