/**
 * Daemons that run the real home and delivery services over fakes, on virtual
 * time. The test sets each assignment; no coordinator runs.
 */
import { Kernel } from "../kernel/kernel.ts";
import { ServiceName } from "../kernel/service_name.ts";
import { SeededRandomSource } from "../host/random_source.ts";
import { RetryingDelivery } from "../services/delivery/retrying_delivery.ts";
import { SlotHome } from "../services/home/slot_home.ts";
import type { Delivery } from "../services/delivery/delivery.ts";
import { StatsdMetrics } from "../services/metrics/statsd_metrics.ts";
import {
  BackendServerState,
  FencingMode,
  RequestClass,
} from "../types/enums.ts";
import type {
  AssignedServer,
  DaemonInfo,
  RoutedRequest,
  ServiceAssignment,
  ServiceDefinition,
} from "../types/types.ts";
import {
  FakeBackendServers,
  FakeBackendTransport,
  type FakeServerBehaviour,
} from "./fake_backend.ts";
import { FakeMembership, FakeOwnership } from "./fake_ownership.ts";
import { FakePeerNetwork, FakePeerTransport } from "./fake_peers.ts";
import { FreezableClock } from "./freezable_clock.ts";
import { EventRecordingLog, settleWithin } from "./test_fleet.ts";
import { VirtualClock } from "./virtual_clock.ts";

/** The size and settings of a home fleet. */
export interface HomeFleetOptions {
  readonly daemonCount: number;
  readonly serverCount: number;
  readonly definition?: Partial<ServiceDefinition>;
  readonly behaviour?: Partial<FakeServerBehaviour>;
}

/** One daemon of a home fleet. */
export interface HomeDaemon {
  readonly info: DaemonInfo;
  readonly clock: FreezableClock;
  readonly ownership: FakeOwnership;
  readonly kernel: Kernel;
  readonly delivery: Delivery;
}

const shardCount = 8;

/** The daemons and backend servers of one service. */
export class HomeFleet {
  readonly clock = new VirtualClock();
  readonly network = new FakePeerNetwork();
  readonly backends = new FakeBackendServers();
  readonly daemons: HomeDaemon[] = [];
  readonly definition: ServiceDefinition;
  #assignment: ServiceAssignment;
  #requestCount = 0;

  constructor(options: HomeFleetOptions) {
    this.definition = {
      name: "roster",
      requestClass: RequestClass.LiveRead,
      shardCount,
      fencingMode: FencingMode.Checked,
      slotsPerServer: 3,
      connectionsPerServer: 50,
      churnWeight: 1,
      ...options.definition,
    };
    const infos = indexes(options.daemonCount).map((index): DaemonInfo => ({
      daemonId: `daemon-${index}`,
      address: `daemon-${index}:1`,
      dataCentre: "dc-a",
      isDraining: false,
    }));
    for (const info of infos) this.daemons.push(this.#create(info, infos));
    const servers = indexes(options.serverCount)
      .map((index) => this.#addServer(index, options));
    this.#assignment = {
      service: this.definition.name,
      epoch: 1,
      version: 1,
      writeId: "write-1",
      servers,
      shardServers: indexes(shardCount).map((i) => i % servers.length),
      shardFences: indexes(shardCount).map(() => 1),
      overrides: [],
    };
  }

  get assignment(): ServiceAssignment {
    return this.#assignment;
  }

  /** Starts the daemons with the first assignment in force. */
  async start(): Promise<void> {
    for (const { kernel, ownership, info } of this.daemons) {
      ownership.assign(this.#assignment);
      await kernel.start();
      this.network.attach(info.address, kernel);
    }
    await this.clock.advance(50);
  }

  /** Puts a changed assignment in force on the given daemons, by default on all. */
  assign(
    change: Partial<ServiceAssignment>,
    daemons: readonly HomeDaemon[] = this.daemons,
  ): void {
    const version = this.#assignment.version + 1;
    this.#assignment = { ...this.#assignment, ...change, version };
    for (const { ownership } of daemons) ownership.assign(this.#assignment);
  }

  /** The servers of the assignment, with changed properties of the server at `index`. */
  serversWith(
    index: number,
    change: Partial<AssignedServer>,
  ): AssignedServer[] {
    return this.#assignment.servers.map((server, i) =>
      i === index ? { ...server, ...change } : server
    );
  }

  /** Freezes a daemon for good and makes it unreachable for its peers. */
  kill(daemon: HomeDaemon): void {
    daemon.clock.freeze();
    this.network.kill(daemon.info.address);
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
  }

  /** Creates a request with defaults for the omitted properties. */
  createRequest(parts: Partial<RoutedRequest> = {}): RoutedRequest {
    return {
      requestId: `request-${this.#requestCount++}`,
      customer: "customer",
      service: this.definition.name,
      key: "a",
      requestClass: this.definition.requestClass,
      isIdempotent: true,
      idempotencyKey: undefined,
      method: "GET",
      path: "/",
      headers: {},
      body: new Uint8Array(),
      deadlineAtMs: this.clock.nowMs() + 5_000,
      ...parts,
    };
  }

  /** Creates a non-idempotent request with an idempotency key. */
  createConfirmation(parts: Partial<RoutedRequest> = {}): RoutedRequest {
    return this.createRequest({
      requestClass: RequestClass.Confirmation,
      isIdempotent: false,
      idempotencyKey: "confirmation-1",
      method: "POST",
      ...parts,
    });
  }

  /** Delivers a request; the caller advances the clock. */
  deliver(
    daemon: HomeDaemon,
    request: RoutedRequest,
    signal: AbortSignal = new AbortController().signal,
  ) {
    return daemon.delivery.deliver(request, signal);
  }

  /** Delivers a request and reads its answer to the end. */
  async deliverWhole(daemon: HomeDaemon, request: RoutedRequest) {
    const result = await this.deliver(daemon, request);
    if (result.isErr()) return result;
    const chunks: Uint8Array[] = [];
    for await (const chunk of result.value.body) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString("utf8");
    return result.map((answer) => ({ ...answer, text }));
  }

  /** Advances the clock until the promise settles. */
  settle<T>(promise: Promise<T>, limitMs = 10_000): Promise<T> {
    return settleWithin(this.clock, promise, limitMs);
  }

  /** Stops all daemons at the same time. */
  async stop(): Promise<void> {
    await this.settle(
      Promise.all(this.daemons.map(({ kernel }) => kernel.stop())),
      60_000,
    );
  }

  #addServer(index: number, options: HomeFleetOptions): AssignedServer {
    const serverId = `server-${index}`;
    this.backends.addServer(serverId, this.clock, {
      isFenceChecked: this.definition.fencingMode === FencingMode.Checked,
      slotCount: this.definition.slotsPerServer,
      ...options.behaviour,
    });
    const standby = options.daemonCount < 2
      ? undefined
      : this.daemons[(index + 1) % options.daemonCount];
    return {
      serverId,
      address: serverId,
      dataCentre: "dc-a",
      state: BackendServerState.Live,
      homeDaemonId: this.daemons[index % options.daemonCount]!.info.daemonId,
      standbyDaemonId: standby?.info.daemonId,
      homeFence: 1,
    };
  }

  #create(info: DaemonInfo, infos: readonly DaemonInfo[]): HomeDaemon {
    const { daemonId, address } = info;
    const clock = new FreezableClock(this.clock);
    const ownership = new FakeOwnership(daemonId, [this.definition]);
    const kernel = new Kernel()
      .register(clock)
      .register(new SeededRandomSource(Number(daemonId.at(-1)) + 1))
      .register(new EventRecordingLog())
      .register(new StatsdMetrics({ address: undefined, daemonId }))
      .register(new FakeMembership(info, infos))
      .register(ownership)
      .register(this.network.addNode(address, clock))
      .register(new FakePeerTransport(this.network, address))
      .register(
        new FakeBackendTransport(this.backends, { daemonId, clock }),
      )
      .register(new SlotHome())
      .register(new RetryingDelivery());
    const delivery = kernel.get(ServiceName.Delivery);
    return { info, clock, ownership, kernel, delivery };
  }
}

function indexes(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}
