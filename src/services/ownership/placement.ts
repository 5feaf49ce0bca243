/**
 * The contract of placement: which backend server should own each shard and
 * each hot key. A placement is a pure decision; the coordinator carries its
 * moves out.
 */
import type { MoveReason } from "../../types/enums.ts";
import type { ServerId, ServiceDefinition } from "../../types/types.ts";
import type { HashFunction } from "../../hashing/key_hash.ts";
import type { KeyRate } from "./ownership.ts";

/** A backend server that may own shards. */
export interface PlacementServer {
  readonly serverId: ServerId;
  readonly dataCentre: string;
  /** False for servers that keep what they own but receive nothing new. */
  readonly acceptsMoves: boolean;
}

/** Everything a placement may look at. */
export interface PlacementInput {
  readonly definition: ServiceDefinition;
  /** Equal on every daemon; shards of keys are computed with it. */
  readonly hash: HashFunction;
  /** Servers that may own shards, ordered by identifier. */
  readonly servers: readonly PlacementServer[];
  /** Present owner of each shard; undefined when it has none. */
  readonly shardOwners: readonly (ServerId | undefined)[];
  /** Requests per second of each shard, hot keys excluded. */
  readonly shardRates: readonly number[];
  /** The present overrides, with their owners. */
  readonly overrides: ReadonlyMap<string, ServerId>;
  /** The most requested keys of the service, highest first. */
  readonly hotKeys: readonly KeyRate[];
  /** Moves of owned shards or keys allowed now; unowned ones are not counted. */
  readonly moveBudget: number;
}

/** One change of owner. Exactly one of `shard` and `key` is set. */
export interface PlannedMove {
  readonly shard: number | undefined;
  readonly key: string | undefined;
  /** Undefined ends the override of `key`. */
  readonly toServerId: ServerId | undefined;
  readonly reason: MoveReason;
}

/** Decides who owns what. */
export abstract class Placement {
  /**
   * Returns the moves to make now. Every shard without an owner among
   * `servers` receives one as long as a server accepts moves.
   */
  abstract plan(input: PlacementInput): readonly PlannedMove[];
}
