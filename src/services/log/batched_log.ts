/**
 * Log lines as JSON on standard output, written in batches. Nothing waits for
 * the writer: lines beyond the bounds are left out, counted, and reported.
 */
import { write } from "node:fs";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { Log, type LogFields } from "./log.ts";

/** Time between writes; a process that is killed loses the lines of one batch. */
const flushIntervalMs = 40;
/** Lines that may wait for the writer. */
const maxPendingLines = 2_000;
/** Lines of one second, so that a storm of requests does not cost the processor. */
const maxLinesPerSecond = 600;
const standardOutput = 1;
const msPerSecond = 1_000;

enum LogLevel {
  Info = "info",
  Warn = "warn",
  Error = "error",
}

/** Writes lines in batches. */
export class BatchedLog extends Log {
  readonly #daemonId: string;
  #services: ServiceLookup | undefined;
  #lines: string[] = [];
  #isWriting = false;
  #isScheduled = false;
  #omittedCount = 0;
  #secondStartedAtMs = 0;
  #secondCount = 0;

  constructor(options: { readonly daemonId: string }) {
    super();
    this.#daemonId = options.daemonId;
  }

  override get needs(): readonly ServiceName[] {
    return [ServiceName.Clock];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#flush();
    return Promise.resolve();
  }

  override info(message: string, fields: LogFields = {}): void {
    this.#add(LogLevel.Info, message, fields);
  }

  override warn(message: string, fields: LogFields = {}): void {
    this.#add(LogLevel.Warn, message, fields);
  }

  override error(message: string, fields: LogFields = {}): void {
    this.#add(LogLevel.Error, message, fields);
  }

  #add(level: LogLevel, event: string, fields: LogFields): void {
    const clock = this.#services?.get(ServiceName.Clock);
    if (clock === undefined || !this.#hasRoom(clock.nowMs())) {
      this.#omittedCount += 1;
      return;
    }
    this.#lines.push(JSON.stringify({
      atMs: clock.wallTimeMs(),
      level,
      daemon: this.#daemonId,
      event,
      ...fields,
    }));
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    clock.after(flushIntervalMs, () => this.#flush());
  }

  #hasRoom(nowMs: number): boolean {
    if (nowMs - this.#secondStartedAtMs >= msPerSecond) {
      this.#secondStartedAtMs = nowMs;
      this.#secondCount = 0;
    }
    this.#secondCount += 1;
    return this.#secondCount <= maxLinesPerSecond &&
      this.#lines.length < maxPendingLines;
  }

  #flush(): void {
    this.#isScheduled = false;
    if (this.#isWriting || this.#lines.length === 0) return;
    if (this.#omittedCount > 0) {
      const omittedCount = this.#omittedCount;
      this.#omittedCount = 0;
      this.#lines.push(JSON.stringify({
        level: LogLevel.Warn,
        daemon: this.#daemonId,
        event: "log lines omitted",
        omittedCount,
      }));
    }
    const batch = Buffer.from(`${this.#lines.join("\n")}\n`);
    this.#lines = [];
    this.#isWriting = true;
    this.#writeAll(batch);
  }

  /** Writes on a thread of the pool, since standard output may block. */
  #writeAll(batch: Uint8Array): void {
    write(standardOutput, batch, (error, writtenCount) => {
      if (error === null && writtenCount < batch.length) {
        return this.#writeAll(batch.subarray(writtenCount));
      }
      this.#isWriting = false;
      if (error !== null) this.#omittedCount += 1;
      this.#flush();
    });
  }
}
