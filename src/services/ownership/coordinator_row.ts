/**
 * The table rows of the coordinator's lease and their JSON encoding. The lease
 * row is rewritten with every renewal, so it is kept small. The members row is
 * separate because it changes only when the fleet does. A daemon writes the
 * challenge row when it cannot reach the coordinator.
 */
import { z } from "zod";
import type { DaemonId, DaemonInfo } from "../../types/types.ts";

/** `holderId` of a lease whose holder resigned. */
export const vacantHolderId = "";

const daemonSchema = z.object({
  daemonId: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  isDraining: z.boolean(),
});

const leaseRowSchema = z.object({
  epoch: z.number(),
  holderId: z.string(),
  membersVersion: z.number(),
  renewalCount: z.number(),
  writeId: z.string(),
});

const membersRowSchema = z.object({
  membersVersion: z.number(),
  members: z.array(daemonSchema),
});

const challengeRowSchema = z.object({
  epoch: z.number(),
  daemonId: z.string(),
});

/** States that a daemon cannot reach the coordinator of an epoch. */
export interface ChallengeRow {
  readonly epoch: number;
  readonly daemonId: DaemonId;
}

/** Names the coordinator of a region. */
export interface LeaseRow {
  /** Increases with each change of holder, and never decreases. */
  readonly epoch: number;
  readonly holderId: DaemonId;
  /** Version of the members row that this lease row was written with. */
  readonly membersVersion: number;
  readonly renewalCount: number;
  /** Unique to each write; shows whether a write without answer took effect. */
  readonly writeId: string;
}

/** The daemons whose confirmations and promises form a quorum. */
export interface MembersRow {
  readonly membersVersion: number;
  /** In the order in which they joined. */
  readonly members: readonly DaemonInfo[];
}

/** The table key of the lease row. */
export function leaseRowKey(region: string): string {
  return `coordinator/${region}`;
}

/** The table key of the members row. */
export function membersRowKey(region: string): string {
  return `members/${region}`;
}

/** The table key of the challenge row. */
export function challengeRowKey(region: string): string {
  return `challenge/${region}`;
}

/** Decodes a challenge row; throws when the text is malformed. */
export function decodeChallengeRow(text: string): ChallengeRow {
  return challengeRowSchema.parse(JSON.parse(text));
}

/** Decodes a lease row; throws when the text is malformed. */
export function decodeLeaseRow(text: string): LeaseRow {
  return leaseRowSchema.parse(JSON.parse(text));
}

/** Decodes a members row; throws when the text is malformed. */
export function decodeMembersRow(text: string): MembersRow {
  return membersRowSchema.parse(JSON.parse(text));
}
