/**
 * The contract of placements. A placement decides which backend server should
 * own each shard and each hot key. It has no side effects; the coordinator
 * carries out the moves.
 */
import type { MoveReason } from "../../types/enums.ts";
import type { ServerId, ServiceDefinition } from "../../types/types.ts";
import type { HashFunction } from "../../hashing/key_hash.ts";
import type { KeyRate } from "./ownership.ts";

/** A backend server that may own shards. */
export interface PlacementServer {
  readonly serverId: ServerId;
  readonly dataCentre: string;
  /** False for a server that keeps its shards and keys but gets no new ones. */
  readonly acceptsMoves: boolean;
}

/** Input for planning the moves of one service. */
export interface PlacementInput {
  readonly definition: ServiceDefinition;
  /** Computes the shards of keys; the same function on every daemon. */
  readonly hash: HashFunction;
  /** Servers that may own shards, ordered by identifier. */
  readonly servers: readonly PlacementServer[];
  /** Current owner of each shard; undefined for a shard without an owner. */
  readonly shardOwners: readonly (ServerId | undefined)[];
  /** Requests per second of each shard, hot keys excluded. */
  readonly shardRates: readonly number[];
  /** The current owner of each key that has an override. */
  readonly overrides: ReadonlyMap<string, ServerId>;
  /** The most requested keys of the service, highest first. */
  readonly hotKeys: readonly KeyRate[];
  /** Maximum number of moves; a shard or key without an owner doesn't count. */
  readonly moveBudget: number;
}

/** One change of owner. Exactly one of `shard` and `key` is set. */
export interface PlannedMove {
  readonly shard: number | undefined;
  readonly key: string | undefined;
  /** Undefined removes the override of `key`. */
  readonly toServerId: ServerId | undefined;
  readonly reason: MoveReason;
}

/** Decides which server owns each shard and each hot key. */
export abstract class Placement {
  /**
   * Returns the moves to make now. Assigns every shard without an owner among
   * `servers`, provided that a server accepts moves.
   */
  abstract plan(input: PlacementInput): readonly PlannedMove[];
}
