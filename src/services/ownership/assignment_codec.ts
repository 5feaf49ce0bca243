/**
 * The assignment row of one service: the assignment itself, the releases that
 * are still awaited, and a bounded tail of the moves.
 */
import { z } from "zod";
import { BackendServerState, MoveReason } from "../../types/enums.ts";
import type {
  DaemonId,
  MoveRecord,
  ServerId,
  ServiceAssignment,
} from "../../types/types.ts";

/** `homeDaemonId` of a server between two homes. */
export const noHomeDaemonId = "";
/** `serverId` of an override whose key is between two owners. */
export const noServerId = "";
/** Index of a shard between two owners. */
export const noServerIndex = -1;

/** Prefix of the keys of all assignment rows. */
export const assignmentRowPrefix = "assignment/";

/** What a home must have released before someone else may have it. */
export enum ReleaseKind {
  Home = "home",
  Shards = "shards",
  Key = "key",
}

/** A right withdrawn from a home that has not yet confirmed its release. */
export interface PendingRelease {
  readonly kind: ReleaseKind;
  /** The home that must confirm, or whose permit must lapse. */
  readonly daemonId: DaemonId;
  readonly serverId: ServerId;
  /** The version that withdrew the right. */
  readonly sinceVersion: number;
  readonly reason: MoveReason;
  /** The shards in motion, for `Shards`. */
  readonly shards: readonly number[];
  /** The key in motion, for `Key`. */
  readonly key: string | undefined;
  /** The planned next owner, if any. */
  readonly toServerId: ServerId | undefined;
}

/** An assignment with what only the coordinator and operators need. */
export interface AssignmentRow extends ServiceAssignment {
  readonly pendingReleases: readonly PendingRelease[];
  /** The most recent moves, oldest first. */
  readonly moves: readonly MoveRecord[];
}

const serverSchema = z.object({
  serverId: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  state: z.enum(BackendServerState),
  homeDaemonId: z.string(),
  standbyDaemonId: z.string().optional(),
  homeFence: z.number(),
});

const pendingReleaseSchema = z.object({
  kind: z.enum(ReleaseKind),
  daemonId: z.string(),
  serverId: z.string(),
  sinceVersion: z.number(),
  reason: z.enum(MoveReason),
  shards: z.array(z.number()),
  key: z.string().optional(),
  toServerId: z.string().optional(),
});

const moveSchema = z.object({
  service: z.string(),
  epoch: z.number(),
  version: z.number(),
  wallTimeMs: z.number(),
  reason: z.enum(MoveReason),
  fromServerId: z.string().optional(),
  toServerId: z.string().optional(),
  shardCount: z.number(),
  key: z.string().optional(),
});

const assignmentRowSchema = z.object({
  service: z.string(),
  epoch: z.number(),
  version: z.number(),
  writeId: z.string(),
  servers: z.array(serverSchema),
  shardServers: z.array(z.number()),
  shardFences: z.array(z.number()),
  overrides: z.array(
    z.object({ key: z.string(), serverId: z.string(), fence: z.number() }),
  ),
  pendingReleases: z.array(pendingReleaseSchema),
  moves: z.array(moveSchema),
});

/** Key of a service's row. */
export function assignmentRowKey(service: string): string {
  return `${assignmentRowPrefix}${service}`;
}

/** Writes a row. */
export function encodeAssignmentRow(row: AssignmentRow): string {
  return JSON.stringify(row);
}

/** Reads a row; throws when it is malformed. */
export function decodeAssignmentRow(text: string): AssignmentRow {
  return assignmentRowSchema.parse(JSON.parse(text)) as AssignmentRow;
}
