/**
 * Collects the log lines that explain what happened to one request, from the
 * logs of any number of daemons: the request's own lines, and the earlier lines
 * about the servers and the key range that it involved. Memory is bounded
 * whatever the size of the logs.
 */
import { groupBy } from "../../collections/group_by.ts";
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { LogLine } from "./log_line.ts";

/**
 * At least this many of the latest lines of other events are kept, since the
 * events that explain a request are logged before the request itself.
 */
const minKeptLineCount = 50_000;
/** How long before the request's last line an event may be to count as related. */
const lookbackMs = 10_000;

/** Events that several daemons log about the same server. */
const multiDaemonEvents: ReadonlySet<string> = new Set([
  LogEvent.ServerRegistered,
  LogEvent.ServerDraining,
  LogEvent.ServerRemoved,
  LogEvent.ServerAvoided,
  LogEvent.ServerReadmitted,
]);
/** Events about one server. */
const serverEvents: ReadonlySet<string> = new Set([
  ...multiDaemonEvents,
  LogEvent.GrantFailed,
  LogEvent.ReleaseFailed,
]);
/** Events about the state of the daemon that logs them. */
const daemonEvents: ReadonlySet<string> = new Set([
  LogEvent.DaemonStarted,
  LogEvent.DaemonLeaving,
  LogEvent.ConfigurationInForce,
  LogEvent.TableFeedLost,
  LogEvent.TableFeedEstablished,
  LogEvent.TablesConnected,
  LogEvent.TablesCopiedFromPeer,
  LogEvent.TablesCutOff,
  LogEvent.TablesRelayed,
  LogEvent.TablesReadFromStore,
  LogEvent.KeyGranterUnreachable,
]);

/** The lines of one request and the lines related to it. */
export class RequestTimeline {
  readonly #id: string;
  readonly #requestLines: LogLine[] = [];
  #candidates: LogLine[] = [];

  constructor(id: string) {
    this.#id = id;
  }

  /** Adds the next line. */
  add(line: LogLine): void {
    if (line.id === this.#id) {
      this.#requestLines.push(line);
      return;
    }
    const { event } = line;
    const isCandidate = event === LogEvent.RangeGranted ||
      serverEvents.has(event) ||
      daemonEvents.has(event);
    if (!isCandidate) return;
    this.#candidates.push(line);
    // Dropping half of the lines at once keeps the amortized cost of a line low.
    if (this.#candidates.length >= 2 * minKeptLineCount) {
      this.#candidates = this.#candidates.slice(minKeptLineCount);
    }
  }

  /** Returns the lines in order of time; empty if the logs have no line of the request. */
  lines(): LogLine[] {
    if (this.#requestLines.length === 0) return [];
    const lastAtMs = Math.max(...this.#requestLines.map(({ atMs }) => atMs));
    const related = this.#candidates.filter((line) =>
      line.atMs <= lastAtMs && line.atMs >= lastAtMs - lookbackMs &&
      this.#isRelated(line)
    );
    return [...this.#mergeSharedEvents(related), ...this.#requestLines]
      .sort((a, b) => a.atMs - b.atMs);
  }

  /**
   * Keeps one line of each event that several daemons logged about a server:
   * the line of a daemon that handled the request, or else the first.
   */
  #mergeSharedEvents(lines: readonly LogLine[]): LogLine[] {
    const groups = groupBy(
      lines.map((line, index) => ({ line, index })),
      ({ line, index }) =>
        multiDaemonEvents.has(line.event)
          ? `${line.event} ${line.server}`
          : String(index),
    );
    return [...groups.values()].map((group) => {
      const members = group.map(({ line }) => line);
      const daemonCount = new Set(members.map(({ daemon }) => daemon)).size;
      const line = members.find(({ daemon }) =>
        this.#requestLines.some((own) =>
          own.daemon === daemon
        )
      ) ?? members[0]!;
      return daemonCount === 1 ? line : { ...line, daemonCount };
    });
  }

  #isRelated(line: LogLine): boolean {
    return this.#requestLines.some((own) => {
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
