/**
 * Replays a trace against a placement without daemons, in intervals of one
 * second: gives the placement the input that the coordinator would give it, and
 * charges each move the duration that a `MoveModel` states. Measures imbalance,
 * churn and unavailable time of every service.
 */
import { computeShard, type HashFunction } from "../src/hashing/key_hash.ts";
import type {
  Placement,
  PlannedMove,
} from "../src/services/ownership/placement.ts";
import { RateEstimator } from "../src/services/ownership/placement_rates.ts";
import {
  type Trace,
  type TraceEvent,
  TraceEventKind,
  type TraceService,
} from "../src/traces/trace_schema.ts";
import { MoveReason } from "../src/types/enums.ts";
import type { ServerId } from "../src/types/types.ts";

/** How long a moving key is unavailable, and how many moves a plan may make. */
export interface MoveModel {
  /** Covers the release at the old home, two commits of the row and the grant at the new home. */
  readonly moveDurationMs: number;
  /** Covers the detection of a lost server, the expiry of the permit, the commit and the grant. */
  readonly recoveryDurationMs: number;
  readonly moveBudget: number;
}

/** Imbalance, churn and unavailable time of one service under one placement. */
export interface PlacementMeasures {
  readonly service: string;
  /** Ratio of the highest load to the lowest possible highest load, for each window. */
  readonly imbalanceByWindow: readonly number[];
  readonly movedKeyCount: number;
  /** Keys that joins and losses of servers force to move. */
  readonly minimumMovedKeyCount: number;
  /** Sum over the moved keys of the durations of their moves. */
  readonly unavailableKeySeconds: number;
  /** Fraction of the requests whose key was unavailable. */
  readonly unavailableRequestFraction: number;
}

const planIntervalMs = 1_000;
const windowIntervalCount = 10;

/** Replays the requests and losses of one service under one placement. */
export class PlacementModel {
  readonly #service: TraceService;
  readonly #placement: Placement;
  readonly #model: MoveModel;
  readonly #shardByKey = new Map<string, number>();
  readonly #hash: HashFunction;
  readonly #keysByShard: number[];
  readonly #rates: RateEstimator;
  readonly #owners: (ServerId | undefined)[];
  readonly #overrides = new Map<string, ServerId>();
  #servers: ServerId[];
  #intervalCounts = new Map<string, number>();
  #windowCounts = new Map<string, number>();
  #windowLoads = new Map<ServerId, number>();
  readonly #imbalanceByWindow: number[] = [];
  #availableAtMs = new Map<number | string, number>();
  #movedKeyCount = 0;
  #minimumMovedKeyCount = 0;
  #unavailableKeyMs = 0;
  #requestCount = 0;
  #unavailableRequestCount = 0;

  constructor(
    service: TraceService,
    options: {
      readonly placement: Placement;
      readonly hash: HashFunction;
      readonly model: MoveModel;
    },
  ) {
    this.#service = service;
    this.#placement = options.placement;
    this.#hash = options.hash;
    this.#model = options.model;
    this.#servers = Array.from(
      { length: service.serverCount },
      (_, index) => `${service.name}-${index}`,
    );
    this.#owners = Array(service.shardCount).fill(undefined);
    this.#rates = new RateEstimator(service.shardCount);
    this.#keysByShard = Array(service.shardCount).fill(0);
    for (let rank = 0; rank < service.keyCount; rank++) {
      const shard = this.#shardOf(`key-${rank}`);
      this.#keysByShard[shard]! += 1;
    }
    this.#plan(0);
  }

  /** Replays one event of the trace. */
  apply(event: TraceEvent): void {
    switch (event.kind) {
      case TraceEventKind.Request:
        return this.#serve(event.key, event.atMs);
      case TraceEventKind.ServerJoin:
        this.#servers = [...this.#servers, event.serverId].sort();
        this.#minimumMovedKeyCount += this.#meanKeyCount();
        return;
      case TraceEventKind.ServerDrain:
        return this.#removeServer(event.serverId);
      case TraceEventKind.ServerKill:
        this.#stopServing(event.serverId, event.atMs);
        return this.#removeServer(event.serverId);
      default:
        return;
    }
  }

  /** Ends an interval: updates the rates and carries out the moves of the placement. */
  endInterval(index: number): void {
    this.#updateRates();
    if ((index + 1) % windowIntervalCount === 0) this.#endWindow();
    this.#plan((index + 1) * planIntervalMs);
  }

  /** The measures so far. */
  measures(): PlacementMeasures {
    return {
      service: this.#service.name,
      imbalanceByWindow: this.#imbalanceByWindow,
      movedKeyCount: this.#movedKeyCount,
      minimumMovedKeyCount: this.#minimumMovedKeyCount,
      unavailableKeySeconds: this.#unavailableKeyMs / 1_000,
      unavailableRequestFraction: this.#unavailableRequestCount /
        Math.max(1, this.#requestCount),
    };
  }

  #shardOf(key: string): number {
    const known = this.#shardByKey.get(key);
    if (known !== undefined) return known;
    const shard = computeShard(this.#hash, key, this.#service);
    this.#shardByKey.set(key, shard);
    return shard;
  }

  #meanKeyCount(): number {
    return this.#service.keyCount / this.#servers.length;
  }

  #removeServer(serverId: ServerId): void {
    this.#minimumMovedKeyCount += this.#meanKeyCount();
    this.#servers = this.#servers.filter((id) => id !== serverId);
  }

  /** Makes the keys of a lost server unavailable until they are recovered. */
  #stopServing(serverId: ServerId, atMs: number): void {
    const availableAtMs = atMs + this.#model.recoveryDurationMs;
    for (const [shard, owner] of this.#owners.entries()) {
      if (owner === serverId) this.#availableAtMs.set(shard, availableAtMs);
    }
    for (const [key, owner] of this.#overrides) {
      if (owner === serverId) this.#availableAtMs.set(key, availableAtMs);
    }
  }

  #serve(key: string, atMs: number): void {
    const shard = this.#shardOf(key);
    const keyOrShard = this.#overrides.has(key) ? key : shard;
    this.#requestCount += 1;
    if ((this.#availableAtMs.get(keyOrShard) ?? 0) > atMs) {
      this.#unavailableRequestCount += 1;
    }
    const owner = this.#overrides.get(key) ?? this.#owners[shard]!;
    increment(this.#intervalCounts, key);
    increment(this.#windowCounts, key);
    increment(this.#windowLoads, owner);
  }

  #updateRates(): void {
    const shardCounts = Array<number>(this.#service.shardCount).fill(0);
    const keyCounts = [...this.#intervalCounts].map(([key, count]) => {
      const shard = this.#shardOf(key);
      shardCounts[shard]! += count;
      return { key, shard, count };
    });
    this.#intervalCounts = new Map();
    this.#rates.update({
      intervalMs: planIntervalMs,
      shardCounts,
      keyCounts,
    });
  }

  #endWindow(): void {
    const loads = this.#servers.map((id) => this.#windowLoads.get(id) ?? 0);
    const total = [...this.#windowLoads.values()]
      .reduce((sum, load) => sum + load, 0);
    const heaviestKeyLoad = Math.max(0, ...this.#windowCounts.values());
    const lowestPeakLoad = Math.max(
      total / this.#servers.length,
      heaviestKeyLoad,
    );
    this.#imbalanceByWindow.push(
      Math.max(1, Math.max(...loads) / lowestPeakLoad),
    );
    this.#windowCounts = new Map();
    this.#windowLoads = new Map();
  }

  #plan(atMs: number): void {
    const moves = this.#placement.plan({
      definition: this.#service,
      hash: this.#hash,
      servers: this.#servers.map((serverId) => ({
        serverId,
        dataCentre: "",
        acceptsMoves: true,
      })),
      shardOwners: this.#owners,
      shardRates: this.#rates.shardRates(),
      overrides: this.#overrides,
      hotKeys: this.#rates.hotKeys(),
      moveBudget: this.#model.moveBudget,
    });
    for (const move of moves) this.#carryOut(move, atMs);
  }

  #carryOut({ shard, key, toServerId, reason }: PlannedMove, atMs: number) {
    const keyOrShard = shard ?? key!;
    const availableAtMs = this.#availableAtMs.get(keyOrShard) ?? 0;
    if (shard !== undefined) this.#owners[shard] = toServerId;
    else if (toServerId === undefined) this.#overrides.delete(key!);
    else this.#overrides.set(key!, toServerId);
    if (reason === MoveReason.Initial) return;
    const keyCount = shard === undefined ? 1 : this.#keysByShard[shard]!;
    this.#movedKeyCount += keyCount;
    const isRecovery = availableAtMs > atMs;
    if (!isRecovery) {
      const moveEndsAtMs = atMs + this.#model.moveDurationMs;
      this.#availableAtMs.set(keyOrShard, moveEndsAtMs);
    }
    this.#unavailableKeyMs += keyCount *
      (isRecovery
        ? this.#model.recoveryDurationMs
        : this.#model.moveDurationMs);
  }
}

function increment<K>(counts: Map<K, number>, name: K): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

/** Replays a whole trace under a placement; returns one result for each service. */
export function measurePlacement(
  trace: Trace,
  options: {
    readonly placement: Placement;
    readonly hash: HashFunction;
    readonly model: MoveModel;
  },
): readonly PlacementMeasures[] {
  const models = new Map(
    trace.header.services.map((service) => [
      service.name,
      new PlacementModel(service, options),
    ]),
  );
  let endedCount = 0;
  for (const event of trace.events) {
    while (event.atMs >= (endedCount + 1) * planIntervalMs) {
      for (const model of models.values()) model.endInterval(endedCount);
      endedCount += 1;
    }
    if ("service" in event) models.get(event.service)?.apply(event);
  }
  return [...models.values()].map((model) => model.measures());
}
