/**
 * Measures churn and unavailable time during a replay: samples the assignments
 * and the permits of every running daemon to find out which server can serve
 * each shard.
 */
import { ServiceName } from "../kernel/service_name.ts";
import { computeShard, type HashFunction } from "../hashing/key_hash.ts";
import type { TestDaemon, TestFleet } from "../testing/test_fleet.ts";
import type { ServerId, ServiceAssignment } from "../types/types.ts";
import type { TraceHeader, TraceService } from "./trace_schema.ts";

/** Virtual time between two samples. */
export const sampleIntervalMs = 50;

/** Churn and unavailable time of one service. */
export interface OwnershipStatistics {
  readonly movedKeyCount: number;
  readonly unavailableKeySeconds: number;
  /** Longest uninterrupted time during which a shard could not be served. */
  readonly longestUnavailableMs: number;
}

const millisecondsPerSecond = 1_000;

/** Monitors every service of a fleet. */
export class OwnershipMonitor {
  readonly #fleet: TestFleet;
  readonly #services: readonly ServiceMonitor[];
  readonly #stopController = new AbortController();

  constructor(fleet: TestFleet, header: TraceHeader, hash: HashFunction) {
    this.#fleet = fleet;
    this.#services = header.services
      .map((service) => new ServiceMonitor(service, hash));
  }

  /** Samples at even intervals until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#stopController.signal.aborted) {
      for (const service of this.#services) service.sample(this.#fleet);
      await this.#fleet.clock.sleep(
        sampleIntervalMs,
        this.#stopController.signal,
      );
    }
  }

  stop(): void {
    this.#stopController.abort();
  }

  /** Returns the statistics of one service. */
  statistics(service: string): OwnershipStatistics {
    return this.#services.find(({ name }) => name === service)!.statistics();
  }
}

class ServiceMonitor {
  readonly name: string;
  readonly #hash: HashFunction;
  readonly #service: TraceService;
  readonly #keyCountByShard: number[];
  readonly #lastServerByShard: (ServerId | undefined)[];
  readonly #lastServerByHotKey = new Map<string, ServerId>();
  readonly #unavailableMsByShard: number[];
  #movedKeyCount = 0;
  #unavailableKeyMs = 0;
  #longestUnavailableMs = 0;

  constructor(service: TraceService, hash: HashFunction) {
    this.name = service.name;
    this.#hash = hash;
    this.#service = service;
    this.#keyCountByShard = Array(service.shardCount).fill(0);
    this.#unavailableMsByShard = Array(service.shardCount).fill(0);
    this.#lastServerByShard = Array(service.shardCount).fill(undefined);
    for (let rank = 0; rank < service.keyCount; rank++) {
      this.#keyCountByShard[computeShard(hash, `key-${rank}`, service)]! += 1;
    }
  }

  statistics(): OwnershipStatistics {
    return {
      movedKeyCount: this.#movedKeyCount,
      unavailableKeySeconds: this.#unavailableKeyMs / millisecondsPerSecond,
      longestUnavailableMs: this.#longestUnavailableMs,
    };
  }

  sample(fleet: TestFleet): void {
    const serving = this.#findServingServers(fleet);
    for (const [shard, serverId] of serving.entries()) {
      if (serverId === undefined) this.#recordUnavailable(shard);
      else this.#recordServed(shard, serverId);
    }
    for (const daemon of fleet.daemons) this.#recordOverrides(daemon);
  }

  #recordUnavailable(shard: number): void {
    this.#unavailableKeyMs += this.#keyCountByShard[shard]! * sampleIntervalMs;
    this.#unavailableMsByShard[shard]! += sampleIntervalMs;
    this.#longestUnavailableMs = Math.max(
      this.#longestUnavailableMs,
      this.#unavailableMsByShard[shard]!,
    );
  }

  #recordServed(shard: number, serverId: ServerId): void {
    const last = this.#lastServerByShard[shard];
    if (last !== undefined && last !== serverId) {
      this.#movedKeyCount += this.#keyCountByShard[shard]!;
    }
    this.#lastServerByShard[shard] = serverId;
    this.#unavailableMsByShard[shard] = 0;
  }

  /** Counts a hot key with an override as moved when its server differs from its last one. */
  #recordOverrides(daemon: TestDaemon): void {
    const assignment = tryGetAssignment(daemon, this.name);
    for (const { key, serverId } of assignment?.overrides ?? []) {
      if (!canServe(daemon, serverId)) continue;
      const shard = computeShard(this.#hash, key, this.#service);
      const last = this.#lastServerByHotKey.get(key) ??
        this.#lastServerByShard[shard];
      if (last !== serverId) this.#movedKeyCount += 1;
      this.#lastServerByHotKey.set(key, serverId);
    }
  }

  /** Finds, for each shard, the server that some running daemon may send requests to. */
  #findServingServers(fleet: TestFleet): readonly (ServerId | undefined)[] {
    const serving = Array<ServerId | undefined>(this.#keyCountByShard.length)
      .fill(undefined);
    for (const daemon of fleet.daemons) {
      const assignment = tryGetAssignment(daemon, this.name);
      if (assignment === undefined || daemon.clock.isFrozen()) continue;
      const usable = assignment.servers.map(({ serverId }) =>
        isServerUp(fleet, serverId) && canServe(daemon, serverId)
      );
      for (const [shard, index] of assignment.shardServers.entries()) {
        if (usable[index]) serving[shard] = assignment.servers[index]!.serverId;
      }
    }
    return serving;
  }
}

function tryGetAssignment(
  daemon: TestDaemon,
  service: string,
): ServiceAssignment | undefined {
  return daemon.kernel.get(ServiceName.Ownership).tryGetAssignment(service);
}

function canServe(daemon: TestDaemon, serverId: ServerId): boolean {
  const ownership = daemon.kernel.get(ServiceName.Ownership);
  return ownership.tryGetPermit(serverId) !== undefined;
}

function isServerUp(fleet: TestFleet, serverId: ServerId): boolean {
  const server = fleet.backends.servers.get(serverId);
  return server !== undefined && server.behaviour.isAlive &&
    !server.clock.isFrozen();
}
