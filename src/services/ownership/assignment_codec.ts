/**
 * The table row that stores the assignment of one service, and its JSON
 * encoding. Beside the assignment the row holds the releases that are still
 * pending and the most recent moves.
 */
import { z } from "zod";
import { BackendServerState, MoveReason } from "../../types/enums.ts";
import type {
  DaemonId,
  MoveRecord,
  ServerId,
  ServiceAssignment,
} from "../../types/types.ts";

/** `homeDaemonId` of a server that has no home at present. */
export const noHomeDaemonId = "";
/** `serverId` of an override whose key is moving and has no owner. */
export const noServerId = "";
/** Entry of `shardServers` for a shard that is moving and has no owner. */
export const noServerIndex = -1;

/** Prefix of the table keys of all assignment rows. */
export const assignmentRowPrefix = "assignment/";

/** What a home must release before the coordinator can assign it again. */
export enum ReleaseKind {
  Home = "home",
  Shards = "shards",
  Key = "key",
}

/**
 * A right to send requests that was withdrawn from a home daemon. The right is
 * not assigned again until the daemon confirms the release or the daemon's
 * permit expires.
 */
export interface PendingRelease {
  readonly kind: ReleaseKind;
  /** The home daemon that must confirm, or whose permit must expire. */
  readonly daemonId: DaemonId;
  readonly serverId: ServerId;
  /** Version of the row that withdrew the right. */
  readonly sinceVersion: number;
  readonly reason: MoveReason;
  /** The moving shards when `kind` is `Shards`, otherwise empty. */
  readonly shards: readonly number[];
  /** The moving key when `kind` is `Key`. */
  readonly key: string | undefined;
  /** The planned next owner; undefined when none is planned. */
  readonly toServerId: ServerId | undefined;
}

/** An assignment with the data that only the coordinator and operators use. */
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

/** The table key of a service's row. */
export function assignmentRowKey(service: string): string {
  return `${assignmentRowPrefix}${service}`;
}

/** Encodes a row as JSON. */
export function encodeAssignmentRow(row: AssignmentRow): string {
  return JSON.stringify(row);
}

/** Decodes a row; throws when the text is malformed. */
export function decodeAssignmentRow(text: string): AssignmentRow {
  return assignmentRowSchema.parse(JSON.parse(text)) as AssignmentRow;
}
