/**
 * Fakes of the ownership and membership services for tests of the home and
 * delivery services. The test sets the assignments and the daemons.
 */
import { setMaxListeners } from "node:events";
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../diagnostics/messages.ts";
import type { ServiceLookup } from "../kernel/kernel.ts";
import { ServiceName } from "../kernel/service_name.ts";
import {
  type Announcement,
  Membership,
} from "../services/membership/membership.ts";
import {
  type HomePermit,
  type InFlightSource,
  Ownership,
  type ServerObservation,
} from "../services/ownership/ownership.ts";
import { EventSource } from "../streams/event_source.ts";
import { RouterError } from "../types/errors.ts";
import type {
  DaemonId,
  DaemonInfo,
  KeyLocation,
  MoveRecord,
  ServerId,
  ServiceAssignment,
  ServiceDefinition,
} from "../types/types.ts";

const permitDurationMs = 1_800;
const permitRenewalMs = 300;

/** Holds the assignments that the test sets, and renews the permit of this daemon. */
export class FakeOwnership extends Ownership {
  readonly observations: ServerObservation[] = [];
  readonly #definitions: readonly ServiceDefinition[];
  readonly #daemonId: DaemonId;
  readonly #changes = new EventSource<ServiceAssignment>();
  readonly #assignments = new Map<string, ServiceAssignment>();
  readonly #stopping = new AbortController();
  #newAssignment = new AbortController();
  #inFlight: InFlightSource | undefined;
  #permitExpiresAtMs = 0;
  #services: ServiceLookup | undefined;
  #renewal: Promise<void> = Promise.resolve();
  /** Suspends the renewal of the permit. */
  isCutOff = false;
  override readonly changes = this.#changes.stream;

  constructor(daemonId: DaemonId, definitions: readonly ServiceDefinition[]) {
    super();
    this.#daemonId = daemonId;
    this.#definitions = definitions;
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    this.#renewal = this.#renewPermit(services);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#stopping.abort();
    return this.#renewal;
  }

  /** Puts an assignment in force on this daemon. */
  assign(assignment: ServiceAssignment): void {
    this.#assignments.set(assignment.service, assignment);
    this.#changes.publish(assignment);
    this.#newAssignment.abort();
    this.#newAssignment = new AbortController();
  }

  /** Whether this daemon has no in-flight request that the assignment no longer allows. */
  isReleased(assignment: ServiceAssignment): boolean {
    return this.#inFlight?.isReleased(assignment) ?? true;
  }

  override definitions(): readonly ServiceDefinition[] {
    return this.#definitions;
  }

  override tryGetDefinition(service: string): ServiceDefinition | undefined {
    return this.#definitions.find(({ name }) => name === service);
  }

  override locate(
    service: string,
    key: string,
  ): Result<KeyLocation, RouterError> {
    const assignment = this.#assignments.get(service);
    if (assignment === undefined) {
      return err(new RouterError(MessageCode.NoOwner, "locate"));
    }
    const shard = computeFakeShard(key, assignment.shardServers.length);
    const override = assignment.overrides.find((entry) => entry.key === key);
    const server = override === undefined
      ? assignment.servers[assignment.shardServers[shard] ?? -1]
      : assignment.servers.find((s) => s.serverId === override.serverId);
    if (server === undefined) {
      return err(new RouterError(MessageCode.KeyMoving, "locate"));
    }
    return ok({
      service,
      shard,
      server,
      fence: override?.fence ?? assignment.shardFences[shard] ?? 0,
      assignmentVersion: assignment.version,
    });
  }

  override tryGetAssignment(service: string): ServiceAssignment | undefined {
    return this.#assignments.get(service);
  }

  override async waitForNewer(
    service: string,
    version: number,
    signal: AbortSignal,
  ): Promise<void> {
    const isNewer = (this.#assignments.get(service)?.version ?? 0) > version;
    if (isNewer || signal.aborted) return;
    const assigned = this.#newAssignment.signal;
    setMaxListeners(0, assigned);
    await new Promise<void>((resolve) => {
      assigned.addEventListener("abort", () => resolve(), { once: true });
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
  }

  override requestRefresh(_service: string): void {}

  override tryGetPermit(serverId: ServerId): HomePermit | undefined {
    const nowMs = this.#services!.get(ServiceName.Clock).nowMs();
    if (nowMs >= this.#permitExpiresAtMs) return undefined;
    for (const { servers } of this.#assignments.values()) {
      const server = servers.find((s) => s.serverId === serverId);
      if (server?.homeDaemonId !== this.#daemonId) continue;
      const { homeFence } = server;
      return { serverId, homeFence, expiresAtMs: this.#permitExpiresAtMs };
    }
    return undefined;
  }

  override setInFlightSource(source: InFlightSource): void {
    this.#inFlight = source;
  }

  override reportObservation(observation: ServerObservation): void {
    this.observations.push(observation);
  }

  override recentMoves(): readonly MoveRecord[] {
    return [];
  }

  async #renewPermit(services: ServiceLookup): Promise<void> {
    const clock = services.get(ServiceName.Clock);
    while (!this.#stopping.signal.aborted) {
      if (!this.isCutOff) {
        this.#permitExpiresAtMs = clock.nowMs() + permitDurationMs;
      }
      await clock.sleep(permitRenewalMs, this.#stopping.signal);
    }
  }
}

/** Computes a predictable shard: the sum of the key's character codes, modulo the shards. */
export function computeFakeShard(key: string, shardCount: number): number {
  const sum = [...key].reduce((total, c) => total + c.charCodeAt(0), 0);
  return sum % shardCount;
}

/** A fixed membership that the test provides. */
export class FakeMembership extends Membership {
  readonly #self: DaemonInfo;
  readonly #listed: readonly DaemonInfo[];
  #isDraining = false;
  override readonly changes = new EventSource<readonly DaemonInfo[]>().stream;
  override readonly announcements = new EventSource<Announcement>().stream;

  constructor(self: DaemonInfo, listed: readonly DaemonInfo[]) {
    super();
    this.#self = self;
    this.#listed = listed;
  }

  override self(): DaemonInfo {
    return { ...this.#self, isDraining: this.#isDraining };
  }

  override daemons(): readonly DaemonInfo[] {
    return this.#listed.map((daemon) =>
      daemon.daemonId === this.#self.daemonId ? this.self() : daemon
    );
  }

  override tryGetDaemon(daemonId: DaemonId): DaemonInfo | undefined {
    return this.daemons().find((daemon) => daemon.daemonId === daemonId);
  }

  override beginDraining(): void {
    this.#isDraining = true;
  }

  override announce(_announcement: Announcement): void {}

  override knownAnnouncements(): readonly Announcement[] {
    return [];
  }

  override setRecordedMembers(_members: readonly DaemonInfo[]): void {}
}
