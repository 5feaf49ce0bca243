/**
 * Daemons that only answer operators: the real peer listener, operator and
 * lists services on loopback ports, over scripted services and a fake platform.
 * For tests of the operators' tool.
 */
import type { Stream } from "most";
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../diagnostics/messages.ts";
import { SeededRandomSource } from "../host/random_source.ts";
import { Kernel } from "../kernel/kernel.ts";
import { Home, type HomedServerStatus } from "../services/home/home.ts";
import { StoredLists } from "../services/lists/stored_lists.ts";
import {
  type Announcement,
  Membership,
} from "../services/membership/membership.ts";
import { TimingName } from "../services/metrics/metrics.ts";
import { StatsdMetrics } from "../services/metrics/statsd_metrics.ts";
import { ConnectOperator } from "../services/operator/connect_operator.ts";
import {
  type CoordinatorStatus,
  Ownership,
} from "../services/ownership/ownership.ts";
import { HttpPeerServer } from "../services/peers/http_peer_server.ts";
import { HttpPeerTransport } from "../services/peers/http_peer_transport.ts";
import { AdmittingPipeline } from "../services/pipeline/admitting_pipeline.ts";
import { EventSource } from "../streams/event_source.ts";
import {
  BackendServerState,
  FencingMode,
  MoveReason,
  RequestClass,
  WindowKind,
} from "../types/enums.ts";
import { RouterError } from "../types/errors.ts";
import type {
  DaemonInfo,
  KeyLocation,
  MoveRecord,
  ServiceAssignment,
  ServiceDefinition,
} from "../types/types.ts";
import {
  FakeObjectStore,
  FakePlatform,
  FakePlatformTable,
} from "./fake_platform.ts";
import { FreezableClock } from "./freezable_clock.ts";
import {
  ScriptedAdmission,
  ScriptedDelivery,
  ScriptedLifecycle,
} from "./loopback_entry.ts";
import { EventRecordingLog } from "./test_fleet.ts";
import { VirtualClock } from "./virtual_clock.ts";

/** The peer secret of loopback fleets. */
export const loopbackSecret = "loopback-secret-1234";

const wallTimeMs = 1_800_000_000_000;

/** Virtual time with a constant wall clock, so that outputs are reproducible. */
export class FixedWallClock extends VirtualClock {
  override wallTimeMs(): number {
    return wallTimeMs;
  }
}

/** A membership whose daemons the fleet provides. */
class ScriptedMembership extends Membership {
  readonly #selfId: string;
  readonly #fleet: readonly DaemonInfo[];
  readonly #announcements: EventSource<Announcement>;
  override readonly announcements: Stream<Announcement>;
  override readonly changes = new EventSource<readonly DaemonInfo[]>().stream;

  constructor(
    selfId: string,
    options: {
      readonly fleet: readonly DaemonInfo[];
      /** Shared by all daemons, as if they synced with one coordinator. */
      readonly announcements: EventSource<Announcement>;
    },
  ) {
    super();
    this.#selfId = selfId;
    this.#fleet = options.fleet;
    this.#announcements = options.announcements;
    this.announcements = options.announcements.stream;
  }

  override self(): DaemonInfo {
    return this.tryGetDaemon(this.#selfId)!;
  }

  override daemons(): readonly DaemonInfo[] {
    return this.#fleet;
  }

  override tryGetDaemon(daemonId: string): DaemonInfo | undefined {
    return this.#fleet.find((daemon) => daemon.daemonId === daemonId);
  }

  override beginDraining(): void {}

  override announce(announcement: Announcement): void {
    this.#announcements.publish(announcement);
  }

  override knownAnnouncements(): readonly Announcement[] {
    return [];
  }

  override setRecordedMembers(): void {}
}

const definition: ServiceDefinition = {
  name: "roster",
  requestClass: RequestClass.LiveRead,
  shardCount: 4,
  fencingMode: FencingMode.Checked,
  slotsPerServer: 3,
  connectionsPerServer: 50,
  churnWeight: 1,
};

const assignment: ServiceAssignment = {
  service: "roster",
  epoch: 3,
  version: 12,
  writeId: "write",
  servers: [0, 1].map((index) => ({
    serverId: `roster-${index}`,
    address: `10.0.0.${index}:9000`,
    dataCentre: `dc-${index}`,
    state: BackendServerState.Live,
    homeDaemonId: `daemon-${index}`,
    standbyDaemonId: `daemon-${1 - index}`,
    homeFence: 5,
  })),
  shardServers: [0, 1, 0, -1],
  shardFences: [7, 7, 8, 8],
  overrides: [{ key: "farm-hot", serverId: "roster-1", fence: 9 }],
};

const moves: readonly MoveRecord[] = [
  {
    service: "roster",
    epoch: 2,
    version: 11,
    wallTimeMs: wallTimeMs - 60_000,
    reason: MoveReason.Initial,
    fromServerId: undefined,
    toServerId: "roster-0",
    shardCount: 2,
    key: undefined,
  },
  {
    service: "roster",
    epoch: 2,
    version: 12,
    wallTimeMs: wallTimeMs - 30_000,
    reason: MoveReason.HomeLost,
    fromServerId: "roster-0",
    toServerId: "roster-0",
    shardCount: 0,
    key: undefined,
  },
  {
    service: "roster",
    epoch: 3,
    version: 12,
    wallTimeMs: wallTimeMs - 5_000,
    reason: MoveReason.HotKey,
    fromServerId: "roster-0",
    toServerId: "roster-1",
    shardCount: 0,
    key: "farm-hot",
  },
];

/** Fixed ownership: the second server owns `farm-hot`, the first all other keys. */
class ScriptedOwnership extends Ownership {
  override readonly changes = new EventSource<ServiceAssignment>().stream;

  override definitions(): readonly ServiceDefinition[] {
    return [definition];
  }

  override tryGetDefinition(name: string): ServiceDefinition | undefined {
    return name === definition.name ? definition : undefined;
  }

  override locate(
    service: string,
    key: string,
  ): Result<KeyLocation, RouterError> {
    if (service !== definition.name) {
      return err(
        new RouterError(MessageCode.NoOwner, "locate", {
          detail: `service ${service} has no assignment`,
        }),
      );
    }
    const index = key === "farm-hot" ? 1 : 0;
    return ok({
      service,
      shard: index,
      server: assignment.servers[index]!,
      fence: 9,
      assignmentVersion: assignment.version,
    });
  }

  override tryGetAssignment(service: string): ServiceAssignment | undefined {
    return service === definition.name ? assignment : undefined;
  }

  override waitForNewer(): Promise<void> {
    return Promise.resolve();
  }

  override requestRefresh(): void {}

  override tryGetPermit(): undefined {}

  override setInFlightSource(): void {}

  override reportObservation(): void {}

  override coordinator(): CoordinatorStatus {
    return { daemonId: "daemon-0", epoch: 3, permitRemainingMs: 700 };
  }

  override recentMoves(): readonly MoveRecord[] {
    return moves;
  }
}

/** A home of one server, with a fixed status. */
class ScriptedHome extends Home {
  readonly #index: number;

  constructor(index: number) {
    super();
    this.#index = index;
  }

  override dispatch(): never {
    throw new Error("not supported by this fake");
  }

  override status(): readonly HomedServerStatus[] {
    return [{
      service: "roster",
      serverId: `roster-${this.#index}`,
      state: BackendServerState.Live,
      queuedCount: 4,
      inFlightCount: 3,
      slotLimit: 3,
      permitRemainingMs: 1_500,
    }];
  }
}

/** Admission with the fixed status of one limit. */
class ScriptedLimits extends ScriptedAdmission {
  override status() {
    return [{
      limitName: "cuadrillas/live-read/burst (plan basic, allowances.yaml:7)",
      customer: "cuadrillas",
      requestClass: RequestClass.LiveRead,
      windowKind: WindowKind.Burst,
      allowedCount: 100,
      localCount: 50,
      usedCount: 20,
    }];
  }
}

/** One daemon of a loopback fleet. */
export class LoopbackDaemon {
  readonly kernel = new Kernel();
  readonly metrics: StatsdMetrics;
  readonly admission = new ScriptedLimits();
  readonly lifecycle = new ScriptedLifecycle();
  readonly pipeline = new AdmittingPipeline();
  readonly log = new EventRecordingLog();
  readonly #server: HttpPeerServer;

  constructor(
    daemonId: string,
    options: {
      readonly index: number;
      readonly clock: FreezableClock;
      readonly platform: FakePlatform;
      readonly fleet: readonly DaemonInfo[];
      readonly announcements: EventSource<Announcement>;
    },
  ) {
    const caller = { daemonId, clock: options.clock };
    this.metrics = new StatsdMetrics({ address: undefined, daemonId });
    this.#server = new HttpPeerServer({
      host: "127.0.0.1",
      port: 0,
      secret: loopbackSecret,
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
    });
    this.kernel
      .register(options.clock)
      .register(new SeededRandomSource(options.index))
      .register(this.log)
      .register(this.metrics)
      .register(new FakePlatformTable(options.platform, caller))
      .register(new FakeObjectStore(options.platform, caller))
      .register(this.#server)
      .register(
        new HttpPeerTransport({
          secret: loopbackSecret,
          connectionsPerPeer: 1,
          connectTimeoutMs: 1_000,
          callTimeoutMs: 1_000,
        }),
      )
      .register(new ScriptedMembership(daemonId, options))
      .register(new ScriptedOwnership())
      .register(new ScriptedHome(options.index))
      .register(new ScriptedDelivery())
      .register(this.admission)
      .register(this.pipeline)
      .register(this.lifecycle)
      .register(new StoredLists())
      .register(new ConnectOperator());
  }

  /** The port of the peer listener. */
  port(): number {
    return this.#server.port();
  }
}

/** Daemons that share a platform and a clock. */
export class LoopbackFleet {
  readonly clock = new FixedWallClock();
  readonly platform = new FakePlatform();
  readonly daemons: LoopbackDaemon[] = [];
  readonly #fleet: DaemonInfo[] = [];
  readonly #announcements = new EventSource<Announcement>();

  /** Starts daemons that list each other as peers. */
  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      const daemonId = `daemon-${index}`;
      const daemon = new LoopbackDaemon(daemonId, {
        index,
        clock: new FreezableClock(this.clock),
        platform: this.platform,
        fleet: this.#fleet,
        announcements: this.#announcements,
      });
      this.daemons.push(daemon);
      this.#fleet.push({
        daemonId,
        address: "",
        dataCentre: `dc-${index}`,
        isDraining: false,
      });
      await this.settle(daemon.kernel.start());
      const address = `127.0.0.1:${daemon.port()}`;
      this.#fleet[index] = { ...this.#fleet[index]!, address };
      daemon.metrics.record(TimingName.Total, 10 * (index + 1), {
        customer: "cuadrillas",
        requestClass: RequestClass.LiveRead,
      });
    }
  }

  /** Advances the clock until the promise settles. */
  async settle<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    promise.then(() => isSettled = true, () => isSettled = true);
    while (!isSettled) await this.clock.advance(5);
    return await promise;
  }

  /** Stops every daemon that still runs. */
  async stop(): Promise<void> {
    await this.settle(Promise.all(this.daemons.map((d) => d.kernel.stop())));
  }
}
