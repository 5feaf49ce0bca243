/**
 * The two rows behind the coordinator's lease. The lease row is rewritten with
 * every renewal and stays small; the members row changes only with the fleet.
 */
import { z } from "zod";
import type { DaemonId, DaemonInfo } from "../../types/types.ts";

/** `holderId` of a lease that its holder resigned. */
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

/** A daemon's complaint that it cannot reach the coordinator of an epoch. */
export interface ChallengeRow {
  readonly epoch: number;
  readonly daemonId: DaemonId;
}

/** Who coordinates a region. */
export interface LeaseRow {
  /** Rises with each change of holder, and never falls. */
  readonly epoch: number;
  readonly holderId: DaemonId;
  /** The version of the members row that belongs to this lease. */
  readonly membersVersion: number;
  readonly renewalCount: number;
  /** Distinguishes this write from any other, to resolve lost answers. */
  readonly writeId: string;
}

/** The daemons whose confirmations and promises count. */
export interface MembersRow {
  readonly membersVersion: number;
  /** In the order in which they joined. */
  readonly members: readonly DaemonInfo[];
}

/** Key of the lease row. */
export function leaseRowKey(region: string): string {
  return `coordinator/${region}`;
}

/** Key of the members row. */
export function membersRowKey(region: string): string {
  return `members/${region}`;
}

/** Key of the challenge row. */
export function challengeRowKey(region: string): string {
  return `challenge/${region}`;
}

/** Reads a challenge row; throws when it is malformed. */
export function decodeChallengeRow(text: string): ChallengeRow {
  return challengeRowSchema.parse(JSON.parse(text));
}

/** Reads a lease row; throws when it is malformed. */
export function decodeLeaseRow(text: string): LeaseRow {
  return leaseRowSchema.parse(JSON.parse(text));
}

/** Reads a members row; throws when it is malformed. */
export function decodeMembersRow(text: string): MembersRow {
  return membersRowSchema.parse(JSON.parse(text));
}
