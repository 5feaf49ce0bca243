/**
 * HTTP clients of the platform: its table, its object store and its list of
 * VMs. A write that fails without an answer, such as by a timeout, has the
 * outcome `Unknown`, since it may have taken effect.
 */
import { err, ok, type Result } from "neverthrow";
import { Agent, request } from "undici";
import { z } from "zod";
import { MessageCode } from "../diagnostics/messages.ts";
import type { ServiceLookup } from "../kernel/kernel.ts";
import { ServiceName } from "../kernel/service_name.ts";
import { CounterName } from "../services/metrics/metrics.ts";
import { readText } from "../streams/read_text.ts";
import { EventSource } from "../streams/event_source.ts";
import { AttemptOutcome, VmRole, VmState } from "../types/enums.ts";
import { RouterError } from "../types/errors.ts";
import type { VmRecord } from "../types/types.ts";
import { ObjectStore } from "./object_store.ts";
import {
  PlatformTable,
  type TableRow,
  type TableWrite,
  type WriteResult,
} from "./platform_table.ts";
import { VmDirectory } from "./vm_directory.ts";

const rowSchema = z.object({
  key: z.string(),
  value: z.string(),
  version: z.number(),
});
const rowListSchema = z.array(rowSchema);
const writeResultSchema = z.object({
  isCommitted: z.boolean(),
  rows: rowListSchema,
});
const vmListSchema = z.array(z.object({
  vmId: z.string(),
  role: z.enum(VmRole),
  state: z.enum(VmState),
  address: z.string(),
  dataCentre: z.string(),
  service: z.string().optional(),
}));

/** Maximum size of an answer; the largest objects and lists of rows are half as large. */
const maxAnswerBytes = 16 * 1_048_576;

const statusNotFound = 404;
const statusOk = 200;

/** Address and timeout of the platform. */
export interface HttpPlatformOptions {
  /** `host:port` of the platform. */
  readonly address: string;
  readonly timeoutMs: number;
}

interface PlatformCall {
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  readonly body?: string;
  readonly step: string;
}

interface PlatformAnswer {
  readonly status: number;
  readonly text: string;
}

/** Sends HTTP calls to the platform. */
export class HttpPlatformClient {
  readonly #agent = new Agent({ connections: 4 });
  readonly #options: HttpPlatformOptions;

  constructor(options: HttpPlatformOptions) {
    this.#options = options;
  }

  /** Sends one call; a status other than 200 or 404 is an error. */
  async call(
    call: PlatformCall,
  ): Promise<Result<PlatformAnswer, RouterError>> {
    const isWrite = call.method !== "GET";
    try {
      const answer = await request(
        `http://${this.#options.address}${call.path}`,
        {
          method: call.method,
          dispatcher: this.#agent,
          signal: AbortSignal.timeout(this.#options.timeoutMs),
          ...(call.body === undefined ? {} : { body: call.body }),
        },
      );
      const text = await readText(answer.body, maxAnswerBytes);
      if (
        answer.statusCode === statusOk || answer.statusCode === statusNotFound
      ) {
        return ok({ status: answer.statusCode, text });
      }
      return err(this.#createError(call, `status ${answer.statusCode}`, false));
    } catch (error) {
      return err(this.#createError(call, String(error), isWrite));
    }
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#agent.destroy();
  }

  #createError(
    call: PlatformCall,
    detail: string,
    mayHaveTakenEffect: boolean,
  ): RouterError {
    const code = mayHaveTakenEffect
      ? MessageCode.PlatformAnswerLost
      : MessageCode.PlatformUnavailable;
    return new RouterError(code, call.step, {
      peer: this.#options.address,
      detail,
      outcome: mayHaveTakenEffect
        ? AttemptOutcome.Unknown
        : AttemptOutcome.NotSent,
    });
  }
}

/** Accesses the platform's table over HTTP. */
export class HttpPlatformTable extends PlatformTable {
  readonly #client: HttpPlatformClient;
  #services: ServiceLookup | undefined;

  constructor(client: HttpPlatformClient) {
    super();
    this.#client = client;
  }

  override get dependencies(): readonly ServiceName[] {
    return [ServiceName.Metrics];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return this.#client.close();
  }

  override async read(
    key: string,
  ): Promise<Result<TableRow | undefined, RouterError>> {
    this.#count(CounterName.PlatformReads);
    const answer = await this.#client.call({
      method: "GET",
      path: `/table/row?key=${encodeURIComponent(key)}`,
      step: "read row",
    });
    return answer.map(({ status, text }) =>
      status === statusNotFound ? undefined : rowSchema.parse(JSON.parse(text))
    );
  }

  override async list(
    prefix: string,
  ): Promise<Result<TableRow[], RouterError>> {
    this.#count(CounterName.PlatformReads);
    const answer = await this.#client.call({
      method: "GET",
      path: `/table/rows?prefix=${encodeURIComponent(prefix)}`,
      step: "list rows",
    });
    return answer.map(({ text }) => rowListSchema.parse(JSON.parse(text)));
  }

  override async commit(
    writes: readonly TableWrite[],
  ): Promise<Result<WriteResult, RouterError>> {
    this.#count(CounterName.PlatformWrites);
    const answer = await this.#client.call({
      method: "POST",
      path: "/table/commit",
      body: JSON.stringify(writes),
      step: "commit rows",
    });
    return answer.map(({ text }) => writeResultSchema.parse(JSON.parse(text)));
  }

  #count(name: CounterName): void {
    this.#services?.get(ServiceName.Metrics).count(name);
  }
}

/** Accesses the platform's object store over HTTP. */
export class HttpObjectStore extends ObjectStore {
  readonly #client: HttpPlatformClient;

  constructor(client: HttpPlatformClient) {
    super();
    this.#client = client;
  }

  override async getObject(
    name: string,
  ): Promise<Result<string | undefined, RouterError>> {
    const answer = await this.#client.call({
      method: "GET",
      path: `/objects/${encodeURIComponent(name)}`,
      step: "get object",
    });
    return answer.map(({ status, text }) =>
      status === statusNotFound ? undefined : text
    );
  }

  override async putObject(
    name: string,
    content: string,
  ): Promise<Result<void, RouterError>> {
    const answer = await this.#client.call({
      method: "PUT",
      path: `/objects/${encodeURIComponent(name)}`,
      body: content,
      step: "put object",
    });
    return answer.map(() => undefined);
  }
}

/** Polls the platform's list of VMs; keeps the last list when a poll fails. */
export class HttpVmDirectory extends VmDirectory {
  readonly #client: HttpPlatformClient;
  readonly #pollIntervalMs: number;
  readonly #stopping = new AbortController();
  readonly #changes = new EventSource<readonly VmRecord[]>();
  #records: readonly VmRecord[] = [];
  #poller: Promise<void> = Promise.resolve();
  override readonly changes = this.#changes.stream;

  constructor(
    client: HttpPlatformClient,
    options: { readonly pollIntervalMs: number },
  ) {
    super();
    this.#client = client;
    this.#pollIntervalMs = options.pollIntervalMs;
  }

  override get dependencies(): readonly ServiceName[] {
    return [ServiceName.Clock];
  }

  override current(): readonly VmRecord[] {
    return this.#records;
  }

  override async start(services: ServiceLookup): Promise<void> {
    await this.#pollOnce();
    this.#poller = this.#poll(services);
  }

  override stop(): Promise<void> {
    this.#stopping.abort();
    return this.#poller;
  }

  async #poll(services: ServiceLookup): Promise<void> {
    const clock = services.get(ServiceName.Clock);
    while (!this.#stopping.signal.aborted) {
      await clock.sleep(this.#pollIntervalMs, this.#stopping.signal);
      await this.#pollOnce();
    }
  }

  async #pollOnce(): Promise<void> {
    const answer = await this.#client.call({
      method: "GET",
      path: "/vms",
      step: "list VMs",
    });
    if (answer.isErr() || answer.value.status !== statusOk) return;
    this.#records = vmListSchema.parse(JSON.parse(answer.value.text));
    this.#changes.publish(this.#records);
  }
}
