/**
 * The working state of a placement while it plans: the owners after the moves
 * made so far, the load of each server and the remaining move budget.
 */
import { MoveReason } from "../../types/enums.ts";
import type { ServerId } from "../../types/types.ts";
import { computeShard } from "../../hashing/key_hash.ts";
import type {
  PlacementInput,
  PlacementServer,
  PlannedMove,
} from "./placement.ts";

/**
 * Requests per second added to each shard, so that idle shards are distributed
 * by their count.
 */
const minShardRate = 0.1;

/** A unit that a placement moves: a whole shard, or a key with an override. */
export interface PlacementItem {
  readonly shard: number | undefined;
  readonly key: string | undefined;
  /** Requests per second. */
  readonly rate: number;
}

/** Tracks owners, loads and moves while a placement plans. */
export class PlacementDraft {
  readonly input: PlacementInput;
  readonly #serverById: ReadonlyMap<ServerId, PlacementServer>;
  readonly #hotKeyRates: ReadonlyMap<string, number>;
  readonly #owners: (ServerId | undefined)[];
  readonly #overrides: Map<string, ServerId>;
  readonly #shardRates: number[];
  readonly #formerOwners: ReadonlySet<ServerId | undefined>;
  readonly #loads = new Map<ServerId, number>();
  readonly #reasons = new Map<number | string, MoveReason>();
  #remainingMoves: number;

  constructor(input: PlacementInput) {
    this.input = input;
    this.#serverById = new Map(input.servers.map((s) => [s.serverId, s]));
    this.#hotKeyRates = new Map(
      input.hotKeys.map(({ key, requestsPerSecond }) => [
        key,
        requestsPerSecond,
      ]),
    );
    this.#owners = input.shardOwners.slice();
    this.#overrides = new Map(input.overrides);
    this.#formerOwners = new Set(input.shardOwners);
    this.#remainingMoves = input.moveBudget;
    this.#shardRates = this.#computeShardRates();
    this.#computeLoads();
  }

  /** Number of owned shards and keys that the budget still allows to move. */
  remainingMoves(): number {
    return this.#remainingMoves;
  }

  /** Requests per second of a shard, including hot keys without an override. */
  shardRate(shard: number): number {
    return this.#shardRates[shard] ?? 0;
  }

  /** Requests per second of a key; 0 when it is not among the hot keys. */
  keyRate(key: string): number {
    return this.#hotKeyRates.get(key) ?? 0;
  }

  /** Requests per second of a server. */
  load(serverId: ServerId): number {
    return this.#loads.get(serverId) ?? 0;
  }

  /** Mean load of the servers when every shard and key has an owner. */
  meanLoad(): number {
    const total = this.items().reduce((sum, item) => sum + item.rate, 0);
    return total / Math.max(1, this.input.servers.length);
  }

  /** Every shard and every key with an override. */
  items(): readonly PlacementItem[] {
    return [
      ...this.#owners.map((_, shard) => this.#createShardItem(shard)),
      ...[...this.#overrides.keys()].map((key) => this.#createKeyItem(key)),
    ];
  }

  /** The items of each server that owns at least one. */
  itemsByServer(): ReadonlyMap<ServerId, readonly PlacementItem[]> {
    const itemsByServer = new Map<ServerId, PlacementItem[]>();
    for (const item of this.items()) {
      const owner = this.#tryGetItemOwner(item);
      if (owner === undefined) continue;
      const items = itemsByServer.get(owner);
      if (items === undefined) itemsByServer.set(owner, [item]);
      else items.push(item);
    }
    return itemsByServer;
  }

  /** The reason to record when an owned shard or key moves to a server. */
  getMoveReason(to: ServerId): MoveReason {
    return this.#formerOwners.has(to)
      ? MoveReason.Rebalance
      : MoveReason.ServerJoined;
  }

  /** The owner of a shard; undefined when it is not among the servers. */
  tryGetOwner(shard: number): ServerId | undefined {
    const owner = this.#owners[shard];
    return owner !== undefined && this.#serverById.has(owner)
      ? owner
      : undefined;
  }

  /** The server of an override; undefined when it is not among the servers. */
  tryGetOverride(key: string): ServerId | undefined {
    const owner = this.#overrides.get(key);
    return owner !== undefined && this.#serverById.has(owner)
      ? owner
      : undefined;
  }

  overriddenKeys(): readonly string[] {
    return [...this.#overrides.keys()];
  }

  shardOf(key: string): number {
    return computeShard(this.input.hash, key, this.input.definition);
  }

  /** The servers that accept moves, ordered by increasing load. */
  listTargetServers(): readonly ServerId[] {
    return this.input.servers
      .filter((server) => server.acceptsMoves)
      .map((server) => server.serverId)
      .sort((a, b) => this.load(a) - this.load(b) || (a < b ? -1 : 1));
  }

  /** The least loaded server that accepts moves; undefined when none does. */
  tryGetLeastLoadedServer(): ServerId | undefined {
    let leastLoaded: ServerId | undefined;
    for (const { serverId, acceptsMoves } of this.input.servers) {
      if (!acceptsMoves) continue;
      const isLessLoaded = leastLoaded === undefined ||
        this.load(serverId) < this.load(leastLoaded);
      if (isLessLoaded) leastLoaded = serverId;
    }
    return leastLoaded;
  }

  /** Moves a shard or an override; false when the move budget is exhausted. */
  move(item: PlacementItem, to: ServerId, reason: MoveReason): boolean {
    if (item.shard !== undefined) {
      return this.#moveShard(item.shard, to, reason);
    }
    return this.setOverride(item.key ?? "", to, reason);
  }

  /** Adds or moves a key's override; false when the budget is exhausted. */
  setOverride(key: string, to: ServerId, reason: MoveReason): boolean {
    const from = this.#tryGetKeyOwner(key);
    if (!this.#spend(from)) return false;
    const rate = this.keyRate(key);
    if (!this.#overrides.has(key)) this.#addShardRate(key, -rate);
    this.#addLoad(from, -rate);
    this.#addLoad(to, rate);
    this.#overrides.set(key, to);
    this.#reasons.set(key, reason);
    return true;
  }

  /**
   * Removes the override of a key, which then belongs to its shard's owner;
   * false when the budget is exhausted.
   */
  removeOverride(key: string, reason: MoveReason): boolean {
    const from = this.tryGetOverride(key);
    const to = this.tryGetOwner(this.shardOf(key));
    if (from !== to && !this.#spend(from)) return false;
    const rate = this.keyRate(key);
    this.#addLoad(from, -rate);
    this.#addLoad(to, rate);
    this.#addShardRate(key, rate);
    this.#overrides.delete(key);
    this.#reasons.set(key, reason);
    return true;
  }

  /** The moves made, shards first, without those that were reversed later. */
  moves(): readonly PlannedMove[] {
    const moves = [...this.#reasons].map(([shardOrKey, reason]): PlannedMove =>
      typeof shardOrKey === "number"
        ? {
          shard: shardOrKey,
          key: undefined,
          toServerId: this.#owners[shardOrKey],
          reason,
        }
        : {
          shard: undefined,
          key: shardOrKey,
          toServerId: this.#overrides.get(shardOrKey),
          reason,
        }
    );
    return moves.filter((move) => this.#isChange(move))
      .sort((a, b) => (a.shard ?? Infinity) - (b.shard ?? Infinity) || 0);
  }

  #isChange({ shard, key, toServerId }: PlannedMove): boolean {
    if (shard !== undefined) {
      return this.input.shardOwners[shard] !== toServerId;
    }
    return this.input.overrides.get(key ?? "") !== toServerId;
  }

  #moveShard(shard: number, to: ServerId, reason: MoveReason): boolean {
    const from = this.tryGetOwner(shard);
    if (!this.#spend(from)) return false;
    this.#addLoad(from, -this.shardRate(shard));
    this.#addLoad(to, this.shardRate(shard));
    this.#owners[shard] = to;
    this.#reasons.set(shard, reason);
    return true;
  }

  /** Takes one move from the budget, unless the item has no owner. */
  #spend(from: ServerId | undefined): boolean {
    if (from === undefined) return true;
    if (this.#remainingMoves <= 0) return false;
    this.#remainingMoves -= 1;
    return true;
  }

  #tryGetItemOwner(item: PlacementItem): ServerId | undefined {
    if (item.shard !== undefined) return this.tryGetOwner(item.shard);
    return this.tryGetOverride(item.key ?? "");
  }

  #tryGetKeyOwner(key: string): ServerId | undefined {
    if (this.#overrides.has(key)) return this.tryGetOverride(key);
    return this.tryGetOwner(this.shardOf(key));
  }

  #createShardItem(shard: number): PlacementItem {
    return { shard, key: undefined, rate: this.shardRate(shard) };
  }

  #createKeyItem(key: string): PlacementItem {
    return { shard: undefined, key, rate: this.keyRate(key) };
  }

  #computeShardRates(): number[] {
    const rates = this.#owners.map((_, shard) =>
      (this.input.shardRates[shard] ?? 0) + minShardRate
    );
    for (const { key, requestsPerSecond } of this.input.hotKeys) {
      if (this.#overrides.has(key)) continue;
      const shard = this.shardOf(key);
      rates[shard] = (rates[shard] ?? 0) + requestsPerSecond;
    }
    return rates;
  }

  #computeLoads(): void {
    for (const item of this.items()) {
      this.#addLoad(this.#tryGetItemOwner(item), item.rate);
    }
  }

  #addLoad(serverId: ServerId | undefined, rate: number): void {
    if (serverId === undefined) return;
    this.#loads.set(serverId, this.load(serverId) + rate);
  }

  #addShardRate(key: string, rate: number): void {
    const shard = this.shardOf(key);
    this.#shardRates[shard] = this.shardRate(shard) + rate;
  }
}

/** The reason to record when a shard without an owner is assigned. */
export function getAssignmentReason(
  formerOwner: ServerId | undefined,
): MoveReason {
  return formerOwner === undefined ? MoveReason.Initial : MoveReason.ServerLost;
}
