/**
 * Watches which server can serve each shard during a replay, by looking at
 * every running daemon's assignment and permits, and adds up churn and
 * unavailable time.
 */
import { ServiceName } from "../kernel/service_name.ts";
import { computeShard, type HashFunction } from "../hashing/key_hash.ts";
import type { TestDaemon, TestFleet } from "../testing/test_fleet.ts";
import type { ServerId, ServiceAssignment } from "../types/types.ts";
import type { TraceHeader, TraceService } from "./trace_schema.ts";

/** Virtual time between two looks. */
export const monitorIntervalMs = 50;

/** Churn and unavailable time of one service. */
export interface OwnershipFigures {
  readonly movedKeyCount: number;
  readonly unavailableKeySeconds: number;
  /** Longest time in which some shard could not be served. */
  readonly longestUnavailableMs: number;
}

const millisecondsPerSecond = 1_000;

/** Watches a fleet. */
export class OwnershipMonitor {
  readonly #fleet: TestFleet;
  readonly #services: readonly ServiceMonitor[];
  readonly #stopping = new AbortController();

  constructor(fleet: TestFleet, header: TraceHeader, hash: HashFunction) {
    this.#fleet = fleet;
    this.#services = header.services
      .map((service) => new ServiceMonitor(service, hash));
  }

  /** Looks at even intervals until `stop`. */
  async run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      for (const service of this.#services) service.look(this.#fleet);
      await this.#fleet.clock.sleep(monitorIntervalMs, this.#stopping.signal);
    }
  }

  stop(): void {
    this.#stopping.abort();
  }

  /** Figures of one service. */
  figures(service: string): OwnershipFigures {
    return this.#services.find(({ name }) => name === service)!.figures();
  }
}

class ServiceMonitor {
  readonly name: string;
  readonly #hash: HashFunction;
  readonly #service: TraceService;
  readonly #keyCounts: number[];
  readonly #lastServers: (ServerId | undefined)[];
  readonly #lastKeyServers = new Map<string, ServerId>();
  readonly #unavailableMs: number[];
  #movedKeyCount = 0;
  #unavailableKeyMs = 0;
  #longestUnavailableMs = 0;

  constructor(service: TraceService, hash: HashFunction) {
    this.name = service.name;
    this.#hash = hash;
    this.#service = service;
    this.#keyCounts = Array(service.shardCount).fill(0);
    this.#unavailableMs = Array(service.shardCount).fill(0);
    this.#lastServers = Array(service.shardCount).fill(undefined);
    for (let rank = 0; rank < service.keyCount; rank++) {
      this.#keyCounts[computeShard(hash, `key-${rank}`, service)]! += 1;
    }
  }

  figures(): OwnershipFigures {
    return {
      movedKeyCount: this.#movedKeyCount,
      unavailableKeySeconds: this.#unavailableKeyMs / millisecondsPerSecond,
      longestUnavailableMs: this.#longestUnavailableMs,
    };
  }

  look(fleet: TestFleet): void {
    const serving = this.#findServing(fleet);
    for (const [shard, serverId] of serving.entries()) {
      if (serverId === undefined) this.#noteUnavailable(shard);
      else this.#noteServed(shard, serverId);
    }
    for (const daemon of fleet.daemons) this.#noteOverrides(daemon);
  }

  #noteUnavailable(shard: number): void {
    this.#unavailableKeyMs += this.#keyCounts[shard]! * monitorIntervalMs;
    this.#unavailableMs[shard]! += monitorIntervalMs;
    this.#longestUnavailableMs = Math.max(
      this.#longestUnavailableMs,
      this.#unavailableMs[shard]!,
    );
  }

  #noteServed(shard: number, serverId: ServerId): void {
    const last = this.#lastServers[shard];
    if (last !== undefined && last !== serverId) {
      this.#movedKeyCount += this.#keyCounts[shard]!;
    }
    this.#lastServers[shard] = serverId;
    this.#unavailableMs[shard] = 0;
  }

  /** Counts a lifted key when it reaches a server other than its last. */
  #noteOverrides(daemon: TestDaemon): void {
    const assignment = tryGetAssignment(daemon, this.name);
    for (const { key, serverId } of assignment?.overrides ?? []) {
      if (!canServe(daemon, serverId)) continue;
      const shard = computeShard(this.#hash, key, this.#service);
      const last = this.#lastKeyServers.get(key) ?? this.#lastServers[shard];
      if (last !== serverId) this.#movedKeyCount += 1;
      this.#lastKeyServers.set(key, serverId);
    }
  }

  /** The server that some running daemon may use for each shard. */
  #findServing(fleet: TestFleet): readonly (ServerId | undefined)[] {
    const serving = Array<ServerId | undefined>(this.#keyCounts.length)
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
