/** Writes log lines as text, by consola, or as one JSON object per line. */
import { type ConsolaInstance, createConsola } from "consola";
import {
  getLogEventDefinition,
  type LogEvent,
  type LogFields,
} from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { Log } from "./log.ts";

/** The formats of a log line. */
export enum LogFormat {
  Text = "text",
  Json = "json",
}

export interface ConsolaLogOptions {
  readonly format: LogFormat;
  readonly daemonId: string;
  /** Defaults to standard error. */
  readonly stream?: NodeJS.WriteStream;
}

/** Writes log lines to a stream. */
export class ConsolaLog extends Log {
  readonly #format: LogFormat;
  readonly #daemonId: string;
  readonly #stream: NodeJS.WriteStream;
  readonly #consola: ConsolaInstance;
  #services: ServiceLookup | undefined;

  constructor(options: ConsolaLogOptions) {
    super();
    const stream = options.stream ?? process.stderr;
    this.#format = options.format;
    this.#daemonId = options.daemonId;
    this.#stream = stream;
    this.#consola = createConsola({ stdout: stream, stderr: stream });
  }

  override get dependencies(): readonly ServiceName[] {
    return [ServiceName.Clock];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    return Promise.resolve();
  }

  override write<E extends LogEvent>(event: E, fields?: LogFields<E>): void {
    const { level } = getLogEventDefinition(event);
    if (this.#format === LogFormat.Text) {
      this.#consola[level](event, fields ?? {});
      return;
    }
    const clock = this.#services?.get(ServiceName.Clock);
    const record = {
      wallTimeMs: clock?.wallTimeMs(),
      level,
      daemonId: this.#daemonId,
      message: event,
      ...fields,
    };
    this.#stream.write(`${JSON.stringify(record)}\n`);
  }
}
