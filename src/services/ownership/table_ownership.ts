/**
 * Ownership read from the platform's table. The daemon with the lowest
 * identifier writes the assignments; every daemon polls them. A permit lasts
 * as long as the last successful poll is recent.
 */
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { EventSource } from "../../streams/event_source.ts";
import { BackendServerState, VmRole, VmState } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type {
  AssignedServer,
  KeyLocation,
  MoveRecord,
  ServerId,
  ServiceAssignment,
  ServiceDefinition,
} from "../../types/types.ts";
import {
  computeShard,
  createHashFunction,
  type HashFunction,
} from "./key_hash.ts";
import {
  type HomePermit,
  type InFlightSource,
  Ownership,
  type ServerObservation,
} from "./ownership.ts";

/** Settings of the ownership service. */
export interface TableOwnershipOptions {
  readonly definitions: readonly ServiceDefinition[];
  readonly pollIntervalMs: number;
  readonly permitDurationMs: number;
}

/** Polls assignments and, on the elected daemon, writes them. */
export class TableOwnership extends Ownership {
  readonly #options: TableOwnershipOptions;
  readonly #changes = new EventSource<ServiceAssignment>();
  readonly #assignments = new Map<string, ServiceAssignment>();
  readonly #lostServers = new Set<ServerId>();
  readonly #stopping = new AbortController();
  #permitExpiresAtMs = 0;
  #hash: HashFunction | undefined;
  #services: ServiceLookup | undefined;
  #poller: Promise<void> = Promise.resolve();
  override readonly changes = this.#changes.stream;

  constructor(options: TableOwnershipOptions) {
    super();
    this.#options = options;
  }

  override get needs(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Log,
      ServiceName.Membership,
      ServiceName.PlatformTable,
      ServiceName.VmDirectory,
    ];
  }

  override async start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    this.#hash = await createHashFunction();
    await this.#pollOnce(services);
    this.#poller = this.#poll(services);
  }

  override stop(): Promise<void> {
    this.#stopping.abort();
    return this.#poller;
  }

  override definitions(): readonly ServiceDefinition[] {
    return this.#options.definitions;
  }

  override tryGetDefinition(service: string): ServiceDefinition | undefined {
    return this.#options.definitions.find(({ name }) => name === service);
  }

  override locate(
    service: string,
    key: string,
  ): Result<KeyLocation, RouterError> {
    const assignment = this.#assignments.get(service);
    const definition = this.tryGetDefinition(service);
    if (assignment === undefined || definition === undefined) {
      return err(
        new RouterError(MessageCode.NoOwner, "locate", {
          detail: `service ${service} has no assignment`,
        }),
      );
    }
    const shard = computeShard(this.#hash!, key, definition);
    const server = assignment.servers[assignment.shardServers[shard] ?? -1];
    if (server === undefined) {
      return err(
        new RouterError(MessageCode.KeyInMotion, "locate", {
          detail: `shard ${shard}`,
        }),
      );
    }
    return ok({
      service,
      shard,
      server,
      fence: assignment.shardFences[shard] ?? 0,
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
    const clock = this.#services!.get(ServiceName.Clock);
    while (!signal.aborted) {
      const assignment = this.#assignments.get(service);
      if (assignment !== undefined && assignment.version > version) return;
      await clock.sleep(this.#options.pollIntervalMs, signal);
    }
  }

  override requestRefresh(_service: string): void {}

  override tryGetPermit(serverId: ServerId): HomePermit | undefined {
    const nowMs = this.#services!.get(ServiceName.Clock).nowMs();
    if (nowMs >= this.#permitExpiresAtMs) return undefined;
    const { daemonId } = this.#services!.get(ServiceName.Membership).self();
    for (const assignment of this.#assignments.values()) {
      const server = assignment.servers.find((s) => s.serverId === serverId);
      if (server?.homeDaemonId !== daemonId) continue;
      return {
        serverId,
        homeFence: server.homeFence,
        expiresAtMs: this.#permitExpiresAtMs,
      };
    }
    return undefined;
  }

  override setInFlightSource(_source: InFlightSource): void {}

  override observe(observation: ServerObservation): void {
    if (observation.state === BackendServerState.Lost) {
      this.#lostServers.add(observation.serverId);
    } else this.#lostServers.delete(observation.serverId);
  }

  override history(): readonly MoveRecord[] {
    return [];
  }

  async #poll(services: ServiceLookup): Promise<void> {
    const clock = services.get(ServiceName.Clock);
    while (!this.#stopping.signal.aborted) {
      await clock.sleep(this.#options.pollIntervalMs, this.#stopping.signal);
      await this.#pollOnce(services);
    }
  }

  async #pollOnce(services: ServiceLookup): Promise<void> {
    const startedAtMs = services.get(ServiceName.Clock).nowMs();
    const rows = await services.get(ServiceName.PlatformTable)
      .list("assignment/");
    if (rows.isErr()) return;
    this.#permitExpiresAtMs = startedAtMs + this.#options.permitDurationMs;
    for (const row of rows.value) {
      const assignment = JSON.parse(row.value) as ServiceAssignment;
      const held = this.#assignments.get(assignment.service);
      if (held !== undefined && held.version >= assignment.version) continue;
      this.#assignments.set(assignment.service, assignment);
      this.#changes.publish(assignment);
    }
    if (this.#isCoordinator(services)) await this.#assignAll(services);
  }

  #isCoordinator(services: ServiceLookup): boolean {
    const membership = services.get(ServiceName.Membership);
    return membership.daemons()[0]?.daemonId === membership.self().daemonId;
  }

  async #assignAll(services: ServiceLookup): Promise<void> {
    for (const definition of this.#options.definitions) {
      const held = this.#assignments.get(definition.name);
      const next = this.#computeAssignment(services, { definition, held });
      if (next === undefined) continue;
      await services.get(ServiceName.PlatformTable).commit([{
        key: `assignment/${definition.name}`,
        value: JSON.stringify(next),
        expectedVersion: held?.version ?? 0,
      }]);
    }
  }

  /** Returns the next assignment, or undefined when nothing changes. */
  #computeAssignment(
    services: ServiceLookup,
    { definition, held }: {
      readonly definition: ServiceDefinition;
      readonly held: ServiceAssignment | undefined;
    },
  ): ServiceAssignment | undefined {
    const daemons = services.get(ServiceName.Membership).daemons();
    const servers = services.get(ServiceName.VmDirectory).current()
      .filter((vm) => vm.role === VmRole.BackendServer)
      .filter((vm) => vm.service === definition.name)
      .filter((vm) => vm.state === VmState.Live)
      .filter((vm) => !this.#lostServers.has(vm.vmId))
      .map((vm, index): AssignedServer => ({
        serverId: vm.vmId,
        address: vm.address,
        dataCentre: vm.dataCentre,
        state: BackendServerState.Live,
        homeDaemonId: daemons[index % daemons.length]!.daemonId,
        standbyDaemonId: undefined,
        homeFence: 1,
      }));
    if (servers.length === 0) return undefined;
    if (JSON.stringify(servers) === JSON.stringify(held?.servers)) {
      return undefined;
    }
    const version = (held?.version ?? 0) + 1;
    const shards = Array.from({ length: definition.shardCount }, (_, i) => i);
    return {
      service: definition.name,
      epoch: 1,
      version,
      writeId: services.get(ServiceName.Random).nextId(),
      servers,
      shardServers: shards.map((shard) => shard % servers.length),
      shardFences: shards.map(() => version),
      overrides: [],
    };
  }
}
