/**
 * Sends this daemon's counts to the key granter over HTTP, and receives those
 * of others while this daemon is the granter.
 */
import {
  Agent,
  createServer,
  type IncomingMessage,
  request as startRequest,
  type Server,
  type ServerResponse,
} from "node:http";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { bucketOf } from "./key_load.ts";
import type { LoadReport } from "./key_granter.ts";
import { LoadReports } from "./load_reports.ts";

/** Time between reports; hot keys are found within two of them. */
const reportIntervalMs = 500;
/** Longest wait for the granter; a path in one region takes a few milliseconds. */
const reportTimeoutMs = 700;
/** A report has at most one entry for each bucket. */
const maxReportBytes = 262_144;
/** Failed reports in a row after which the granter is taken to be lost. */
const failuresUntilSuspicion = 2;

const reportPath = "/load";
const statusOk = 200;
const statusNotGranter = 409;
const statusBadRequest = 400;

/** Reports by HTTP between daemons. */
export class PeerLoadReports extends LoadReports {
  readonly #listen: { readonly host: string; readonly port: number };
  readonly #stopping = new AbortController();
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  readonly #counts = new Map<string, Map<number, number>>();
  #services: ServiceLookup | undefined;
  #server: Server | undefined;
  #failureCount = 0;
  #task: Promise<void> = Promise.resolve();

  constructor(
    options: { readonly host: string; readonly port: number },
  ) {
    super();
    this.#listen = options;
  }

  override get needs(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Log,
      ServiceName.KeySpace,
      ServiceName.KeyGranter,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    const server = createServer((request, response) => {
      void this.#receive(request, response);
    });
    this.#server = server;
    this.#task = this.#run();
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.#listen.port, this.#listen.host, () => resolve());
    });
  }

  override async stop(): Promise<void> {
    this.#stopping.abort();
    this.#agent.destroy();
    this.#server?.close();
    this.#server?.closeAllConnections();
    await this.#task;
  }

  override note(service: string, key: number): void {
    let counts = this.#counts.get(service);
    if (counts === undefined) {
      counts = new Map();
      this.#counts.set(service, counts);
    }
    const bucket = bucketOf(key);
    counts.set(bucket, (counts.get(bucket) ?? 0) + 1);
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopping;
    const clock = this.#services!.get(ServiceName.Clock);
    while (!signal.aborted) {
      await clock.sleep(reportIntervalMs, signal);
      if (!signal.aborted) await this.#report();
    }
  }

  /** Hands the counts over; they are lost when the granter is out of reach. */
  async #report(): Promise<void> {
    const services = this.#services!;
    const granter = services.get(ServiceName.KeyGranter);
    const report = this.#takeReport();
    if (granter.isActive()) {
      granter.addLoad(report);
      this.#failureCount = 0;
      return;
    }
    const holder = services.get(ServiceName.KeySpace).granter();
    if (holder === undefined) return;
    const failure = await this.#send(holder.address, report);
    if (failure === undefined) {
      this.#failureCount = 0;
      return;
    }
    this.#failureCount += 1;
    if (this.#failureCount < failuresUntilSuspicion) return;
    if (this.#failureCount === failuresUntilSuspicion) {
      services.get(ServiceName.Log).warn("key granter out of reach", {
        peer: holder.address,
        error: failure,
      });
    }
    granter.suspectHolder();
  }

  #takeReport(): LoadReport {
    const report = Object.fromEntries(
      [...this.#counts].map(([service, counts]) => [service, [...counts]]),
    );
    this.#counts.clear();
    return report;
  }

  /** Resolves with what went wrong, if anything. */
  #send(address: string, report: LoadReport): Promise<string | undefined> {
    const [host, port] = address.split(":");
    return new Promise((resolve) => {
      const request = startRequest({
        agent: this.#agent,
        host: host!,
        port: Number(port),
        method: "POST",
        path: reportPath,
        signal: AbortSignal.any([
          this.#stopping.signal,
          AbortSignal.timeout(reportTimeoutMs),
        ]),
      });
      request.on("error", (error) => resolve(error.message));
      request.on("response", (response) => {
        response.resume();
        response.on("error", (error) => resolve(error.message));
        response.on("end", () => {
          const { statusCode } = response;
          resolve(statusCode === statusOk ? undefined : `status ${statusCode}`);
        });
      });
      request.end(JSON.stringify(report));
    });
  }

  async #receive(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let status = statusBadRequest;
    try {
      const report = await readReport(request);
      const isTaken = this.#services!.get(ServiceName.KeyGranter)
        .addLoad(report);
      status = isTaken ? statusOk : statusNotGranter;
    } catch (error) {
      this.#services!.get(ServiceName.Log).warn("load report refused", {
        peer: request.socket.remoteAddress,
        reason: String(error),
      });
    }
    response.writeHead(status).end();
  }
}

async function readReport(request: IncomingMessage): Promise<LoadReport> {
  const chunks: Uint8Array[] = [];
  let byteCount = 0;
  for await (const chunk of request as AsyncIterable<Uint8Array>) {
    byteCount += chunk.length;
    if (byteCount > maxReportBytes) throw new RangeError("report too large");
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString("utf8")) as LoadReport;
}
