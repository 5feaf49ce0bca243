/**
 * Writes log lines as JSON to standard output, in batches. Callers never wait
 * for a write: lines beyond the limits are dropped, and their number is logged.
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

/** Time during which a batch gathers; a process that is killed loses the lines of its last batch. */
const flushIntervalMs = 40;
/** Limit on the lines that wait to be written. */
const maxPendingLineCount = 2_000;
/** Limit on the lines of one second, so that logging takes little processor time under a high request rate. */
const maxLineCountPerSecond = 600;
const standardOutputFd = 1;
const millisecondsPerSecond = 1_000;

/** Writes log lines in batches. */
export class BatchedLog extends Log {
  readonly #daemonId: string;
  #services: ServiceLookup | undefined;
  #lines: string[] = [];
  #isWriting = false;
  #writeTask: Promise<void> = Promise.resolve();
  #isFlushScheduled = false;
  #omittedCount = 0;
  #rateWindowStartedAtMs = 0;
  #rateWindowLineCount = 0;

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

  /** Resolves when all lines are written; waits without limit if the reader of standard output does not read. */
  override async stop(): Promise<void> {
    this.#flush();
    await this.#writeTask;
  }

  override write<E extends LogEvent>(event: E, fields?: LogFields<E>): void {
    const clock = this.#services?.get(ServiceName.Clock);
    if (clock === undefined || !this.#tryReserveLine(clock.nowMs())) {
      this.#omittedCount += 1;
      return;
    }
    this.#lines.push(this.#createLine(event, fields));
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    clock.after(flushIntervalMs, () => this.#flush());
  }

  #tryReserveLine(nowMs: number): boolean {
    if (nowMs - this.#rateWindowStartedAtMs >= millisecondsPerSecond) {
      this.#rateWindowStartedAtMs = nowMs;
      this.#rateWindowLineCount = 0;
    }
    this.#rateWindowLineCount += 1;
    return this.#rateWindowLineCount <= maxLineCountPerSecond &&
      this.#lines.length < maxPendingLineCount;
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    if (!this.#isWriting) this.#writeTask = this.#writePending();
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
        // Nothing else can report the failure; the next batch reports the number of lost lines.
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

/** Writes on a thread of libuv's pool, because a write to standard output may block. */
async function writeAll(batch: Uint8Array): Promise<void> {
  let writtenByteCount = 0;
  while (writtenByteCount < batch.length) {
    const { bytesWritten } = await writePart(
      standardOutputFd,
      batch.subarray(writtenByteCount),
    );
    writtenByteCount += bytesWritten;
  }
}
