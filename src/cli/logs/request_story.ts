/**
 * One request's story from the logs of many daemons: its own lines, and what
 * happened shortly before to the servers and the keys that it met. Memory is
 * bounded whatever the size of the logs.
 */
import { groupBy } from "../../collections/group_by.ts";
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { LogLine } from "./log_line.ts";

/** Lines of other events that are kept until the request is known. */
const keptLineCount = 50_000;
/** Events this long before a request's end may explain it. */
const reachMs = 10_000;

/** Events that many daemons log about one server. */
const sharedEvents: ReadonlySet<string> = new Set([
  LogEvent.ServerRegistered,
  LogEvent.ServerDraining,
  LogEvent.ServerRemoved,
  LogEvent.ServerAvoided,
  LogEvent.ServerReadmitted,
]);
/** Events that tell about one server. */
const serverEvents: ReadonlySet<string> = new Set([
  ...sharedEvents,
  LogEvent.GrantFailed,
  LogEvent.ReleaseFailed,
]);
/** Events that tell about one daemon's knowledge. */
const daemonEvents: ReadonlySet<string> = new Set([
  LogEvent.DaemonStarted,
  LogEvent.DaemonLeaving,
  LogEvent.ConfigurationInForce,
  LogEvent.TableFeedLost,
  LogEvent.TableFeedEstablished,
  LogEvent.TablesRelayed,
  LogEvent.TablesReadFromStore,
  LogEvent.KeyGranterUnreachable,
]);

/** Collects lines, then tells the story. */
export class RequestStory {
  readonly #id: string;
  readonly #own: LogLine[] = [];
  #others: LogLine[] = [];

  constructor(id: string) {
    this.#id = id;
  }

  /** Takes the next line. */
  add(line: LogLine): void {
    if (line.id === this.#id) {
      this.#own.push(line);
      return;
    }
    const { event } = line;
    const mayMatter = event === LogEvent.RangeGranted ||
      serverEvents.has(event) ||
      daemonEvents.has(event);
    if (!mayMatter) return;
    this.#others.push(line);
    // Half is dropped at once, so that a line costs little.
    if (this.#others.length >= 2 * keptLineCount) {
      this.#others = this.#others.slice(keptLineCount);
    }
  }

  /** The lines in order of time; empty when the request is unknown. */
  lines(): LogLine[] {
    if (this.#own.length === 0) return [];
    const endMs = Math.max(...this.#own.map(({ atMs }) => atMs));
    const related = this.#others.filter((line) =>
      line.atMs <= endMs && line.atMs >= endMs - reachMs &&
      this.#isRelated(line)
    );
    return [...this.#joinShared(related), ...this.#own]
      .sort((a, b) => a.atMs - b.atMs);
  }

  /** Keeps one line of each event that several daemons have logged: that of the request's daemon, or the first. */
  #joinShared(lines: readonly LogLine[]): LogLine[] {
    const groups = groupBy(
      lines.map((line, place) => ({ line, place })),
      ({ line, place }) =>
        sharedEvents.has(line.event)
          ? `${line.event} ${line.server}`
          : String(place),
    );
    return [...groups.values()].map((group) => {
      const members = group.map(({ line }) => line);
      const daemonCount = new Set(members.map(({ daemon }) => daemon)).size;
      const line = members.find(({ daemon }) =>
        this.#own.some((own) =>
          own.daemon === daemon
        )
      ) ?? members[0]!;
      return daemonCount === 1 ? line : { ...line, daemonCount };
    });
  }

  #isRelated(line: LogLine): boolean {
    return this.#own.some((own) => {
      if (daemonEvents.has(line.event)) return line.daemon === own.daemon;
      if (line.event === LogEvent.RangeGranted) {
        return line.service === own.service && typeof own.key === "number" &&
          Number(line.first) <= own.key && own.key <= Number(line.last);
      }
      const server = String(line.server);
      return own.server === server ||
        String(own.trail ?? "").includes(server);
    });
  }
}
