/**
 * The listener for callers on a loopback port, over scripted services that
 * record the requests. For tests of the HTTP entry with real sockets.
 */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { ok, type Result } from "neverthrow";
import { SeededRandomSource } from "../host/random_source.ts";
import { SystemClock } from "../host/system_clock.ts";
import { Kernel } from "../kernel/kernel.ts";
import { ServiceName } from "../kernel/service_name.ts";
import {
  Admission,
  type AdmissionTicket,
  type LimitStatus,
} from "../services/admission/admission.ts";
import { Delivery } from "../services/delivery/delivery.ts";
import {
  HttpEntry,
  type HttpEntryOptions,
} from "../services/entry/http_entry.ts";
import { Lifecycle } from "../services/lifecycle/lifecycle.ts";
import { StatsdMetrics } from "../services/metrics/statsd_metrics.ts";
import { AdmittingPipeline } from "../services/pipeline/admitting_pipeline.ts";
import { Ownership } from "../services/ownership/ownership.ts";
import { EventSource } from "../streams/event_source.ts";
import { DaemonState, FencingMode, RequestClass } from "../types/enums.ts";
import type { RouterError } from "../types/errors.ts";
import type {
  RoutedRequest,
  RoutedResponse,
  ServiceAssignment,
  ServiceDefinition,
} from "../types/types.ts";
import { EventRecordingLog } from "./test_fleet.ts";

/** Returns the result of a scripted delivery. */
export type DeliveryScript = (
  request: RoutedRequest,
  signal: AbortSignal,
) => Promise<Result<RoutedResponse, RouterError>>;

/** Records requests and delegates them to a script. */
export class ScriptedDelivery extends Delivery {
  readonly delivered: RoutedRequest[] = [];
  script: DeliveryScript = (request) =>
    Promise.resolve(
      ok(createTextResponse(`${request.service}/${request.key}`)),
    );

  override deliver(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<RoutedResponse, RouterError>> {
    this.delivered.push(request);
    return this.script(request, signal);
  }

  override inFlightCount(): number {
    return 0;
  }
}

/** Delegates admission to a script, and counts refunds. */
export class ScriptedAdmission extends Admission {
  refundCount = 0;
  script: () => Result<AdmissionTicket, RouterError> = () =>
    ok({ planRank: 7, refund: () => void (this.refundCount += 1) });

  override admit(): Promise<Result<AdmissionTicket, RouterError>> {
    return Promise.resolve(this.script());
  }

  override status(): readonly LimitStatus[] {
    return [];
  }
}

/** A lifecycle with a state that the test sets. */
export class ScriptedLifecycle extends Lifecycle {
  current = DaemonState.Ready;
  reasons: readonly string[] = [];

  override state(): DaemonState {
    return this.current;
  }

  override blockers(): readonly string[] {
    return this.reasons;
  }

  override unassignedServices(): readonly string[] {
    return [];
  }

  override beginDraining(): void {
    this.current = DaemonState.Draining;
  }

  override waitForDraining(): Promise<void> {
    return Promise.resolve();
  }
}

/** Defines one service, without an assignment. */
class DefinitionsOnlyOwnership extends Ownership {
  readonly #definition: ServiceDefinition = {
    name: "roster",
    requestClass: RequestClass.LiveRead,
    shardCount: 4,
    fencingMode: FencingMode.Checked,
    slotsPerServer: 3,
    connectionsPerServer: 50,
    churnWeight: 1,
  };
  override readonly changes = new EventSource<ServiceAssignment>().stream;

  override definitions(): readonly ServiceDefinition[] {
    return [this.#definition];
  }

  override tryGetDefinition(name: string): ServiceDefinition | undefined {
    return name === this.#definition.name ? this.#definition : undefined;
  }

  override locate(): never {
    throw new Error("not supported by this fake");
  }

  override tryGetAssignment(): undefined {}

  override waitForNewer(): Promise<void> {
    return Promise.resolve();
  }

  override requestRefresh(): void {}

  override tryGetPermit(): undefined {}

  override setInFlightSource(): void {}

  override reportObservation(): void {}

  override recentMoves(): readonly never[] {
    return [];
  }
}

/** A listener for callers and the scripted services behind it. */
export class LoopbackEntry {
  readonly delivery = new ScriptedDelivery();
  readonly admission = new ScriptedAdmission();
  readonly lifecycle = new ScriptedLifecycle();
  readonly log = new EventRecordingLog();
  readonly metrics = new StatsdMetrics({ address: undefined, daemonId: "d" });
  readonly kernel = new Kernel();

  constructor(options: Partial<HttpEntryOptions> = {}) {
    this.kernel
      .register(new SystemClock())
      .register(new SeededRandomSource(1))
      .register(this.log)
      .register(this.metrics)
      .register(this.delivery)
      .register(this.admission)
      .register(this.lifecycle)
      .register(new DefinitionsOnlyOwnership())
      .register(new AdmittingPipeline())
      .register(
        new HttpEntry({
          host: "127.0.0.1",
          port: 0,
          maxBodyBytes: 1_000,
          maxHeaderBytes: 4_096,
          defaultDeadlineMs: 5_000,
          maxDeadlineMs: 20_000,
          requestTimeoutMs: 10_000,
          maxCallerConnections: 100,
          drainNoticeMs: 0,
          drainTimeoutMs: 5_000,
          ...options,
        }),
      );
  }

  /** Starts the listener. */
  start(): Promise<void> {
    return this.kernel.start();
  }

  /** Drains and stops the listener. */
  stop(): Promise<void> {
    return this.kernel.stop();
  }

  /** Opens a connection. */
  async connect(): Promise<Socket> {
    const port = this.kernel.get(ServiceName.Entry).port();
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    await once(socket, "connect");
    return socket;
  }

  /** Sends text on a new connection; returns the text received until the other side closes it. */
  async exchange(text: string): Promise<string> {
    const socket = await this.connect();
    socket.write(text);
    return await readUntilClosed(socket);
  }

  /** The value of a counter; `name` includes the tag. */
  counter(name: string): number {
    return this.metrics.counters().get(name) ?? 0;
  }
}

/** Reads a connection until the other side closes it. */
export async function readUntilClosed(socket: Socket): Promise<string> {
  let text = "";
  socket.on("data", (chunk) => text += String(chunk));
  if (!socket.closed) await once(socket, "close");
  return text;
}

/** Reads a connection until the received text includes `part`. */
export async function readUntil(socket: Socket, part: string): Promise<string> {
  let text = "";
  while (!text.includes(part)) {
    const [chunk] = await once(socket, "data");
    text += String(chunk);
  }
  return text;
}

/** Creates an answer with a text as its body. */
export function createTextResponse(text: string): RoutedResponse {
  async function* body(): AsyncIterable<Uint8Array> {
    yield Buffer.from(text);
  }
  return { status: 200, headers: {}, body: body() };
}
