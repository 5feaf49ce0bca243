/**
 * Log lines as JSON on standard output, written in batches. Nothing waits for
 * the writer: lines beyond the bounds are left out, counted, and reported.
 */
import { write } from "node:fs";
import { promisify } from "node:util";
import {
  getLogEventDefinition,
  LogEvent,
  type LogFields,
} from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { Log } from "./log.ts";

/** Time between writes; a process that is killed loses the lines of one batch. */
const flushIntervalMs = 40;
/** Lines that may wait for the writer. */
const maxPendingLines = 2_000;
/** Lines of one second, so that a storm of requests does not cost the processor. */
const maxLinesPerSecond = 600;
const standardOutput = 1;
const msPerSecond = 1_000;

/** Writes lines in batches. */
export class BatchedLog extends Log {
  readonly #daemonId: string;
  #services: ServiceLookup | undefined;
  #lines: string[] = [];
  #isWriting = false;
  #writing: Promise<void> = Promise.resolve();
  #isScheduled = false;
  #omittedCount = 0;
  #secondStartedAtMs = 0;
  #secondCount = 0;

  constructor(options: { readonly daemonId: string }) {
    super();
    this.#daemonId = options.daemonId;
  }

  override get dependencies(): readonly ServiceName[] {
    return [ServiceName.Clock];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    return Promise.resolve();
  }

  /** Resolves when all lines are written; a reader that is stuck keeps it waiting. */
  override async stop(): Promise<void> {
    this.#flush();
    await this.#writing;
  }

  override write<E extends LogEvent>(event: E, fields?: LogFields<E>): void {
    const clock = this.#services?.get(ServiceName.Clock);
    if (clock === undefined || !this.#hasRoom(clock.nowMs())) {
      this.#omittedCount += 1;
      return;
    }
    this.#lines.push(this.#createLine(event, fields));
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
    if (!this.#isWriting) this.#writing = this.#writePending();
  }

  async #writePending(): Promise<void> {
    this.#isWriting = true;
    while (this.#lines.length > 0) {
      const lines = this.#lines;
      this.#lines = [];
      if (this.#omittedCount > 0) {
        const omittedCount = this.#omittedCount;
        lines.push(
          this.#createLine(LogEvent.LogLinesOmitted, { omittedCount }),
        );
        this.#omittedCount = 0;
      }
      try {
        await writeAll(Buffer.from(`${lines.join("\n")}\n`));
      } catch {
        // There is nowhere else to say so; the count goes out with the next batch.
        this.#omittedCount += lines.length;
      }
    }
    this.#isWriting = false;
  }

  #createLine<E extends LogEvent>(event: E, fields?: LogFields<E>): string {
    return JSON.stringify({
      atMs: this.#services!.get(ServiceName.Clock).wallTimeMs(),
      level: getLogEventDefinition(event).level,
      daemon: this.#daemonId,
      event,
      ...fields,
    });
  }
}

const writePart = promisify(write);

/** Writes on a thread of the pool, since standard output may block. */
async function writeAll(batch: Uint8Array): Promise<void> {
  let writtenCount = 0;
  while (writtenCount < batch.length) {
    const { bytesWritten } = await writePart(
      standardOutput,
      batch.subarray(writtenCount),
    );
    writtenCount += bytesWritten;
  }
}
