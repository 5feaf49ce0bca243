/**
 * Reads and writes the rows of the lease and the assignments in the platform's
 * table. Every transaction rewrites the lease row with compare-and-set, so that
 * a daemon that no longer holds the lease cannot commit an assignment. When the
 * answer to a write is lost, the write identifier in the lease row shows at the
 * next read whether the write took effect.
 */
import type { TableRow, TableWrite } from "../../host/platform_table.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { CounterName } from "../metrics/metrics.ts";
import {
  type AssignmentRow,
  assignmentRowKey,
  assignmentRowPrefix,
  decodeAssignmentRow,
  encodeAssignmentRow,
} from "./assignment_codec.ts";
import type { ControlState } from "./control_state.ts";
import {
  type ChallengeRow,
  challengeRowKey,
  decodeChallengeRow,
  decodeLeaseRow,
  decodeMembersRow,
  type LeaseRow,
  leaseRowKey,
  type MembersRow,
  membersRowKey,
} from "./coordinator_row.ts";

const rememberedWriteCount = 16;

/** The outcome of a transaction. */
export enum CommitOutcome {
  Committed = "committed",
  /** Another write changed a row first; nothing was written. */
  Conflict = "conflict",
  /** The answer was lost; the write may have taken effect. */
  Unknown = "unknown",
  /** The write did not take effect. */
  Failed = "failed",
}

/** A lease row with the table's version of the row; 0 when there is no row. */
export interface VersionedLease {
  readonly version: number;
  readonly lease: LeaseRow | undefined;
  readonly receivedAtMs: number;
}

/** A challenge with the table's version of its row. */
export interface VersionedChallenge extends ChallengeRow {
  readonly version: number;
}

/** The contents of one transaction. */
export interface LeaseCommit {
  /** The table's version of the lease row that this write replaces. */
  readonly leaseVersion: number;
  readonly lease: Omit<LeaseRow, "writeId">;
  readonly members: MembersRow | undefined;
  readonly rows: readonly AssignmentRow[];
}

/** Accesses the table for the holder of the lease or a candidate. */
export class LeaseStore {
  readonly #state: ControlState;
  readonly #versions = new Map<string, number>();
  #writeIds: readonly string[] = [];

  constructor(state: ControlState) {
    this.#state = state;
  }

  /** Reads the lease row; undefined when the table read fails. */
  async tryReadLease(): Promise<VersionedLease | undefined> {
    const read = await this.#tryRead(leaseRowKey(this.#state.options.region));
    if (read === undefined) return undefined;
    return {
      version: read.row?.version ?? 0,
      lease: read.row && decodeLeaseRow(read.row.value),
      receivedAtMs: this.#state.clock.nowMs(),
    };
  }

  /** Reads the members row; undefined without a row or when the read fails. */
  async tryReadMembers(): Promise<MembersRow | undefined> {
    const read = await this.#tryRead(membersRowKey(this.#state.options.region));
    return read?.row && decodeMembersRow(read.row.value);
  }

  /** Reads every assignment row; undefined when the table read fails. */
  async tryReadAssignments(): Promise<readonly AssignmentRow[] | undefined> {
    const { table, metrics } = this.#state;
    metrics.count(CounterName.PlatformReads);
    const rows = await table.list(assignmentRowPrefix);
    if (rows.isErr()) {
      metrics.count(CounterName.PlatformErrors);
      return undefined;
    }
    for (const row of rows.value) this.#versions.set(row.key, row.version);
    return rows.value.map(({ value }) => decodeAssignmentRow(value));
  }

  /** Reads the challenge row; undefined without a row or if the read fails. */
  async tryReadChallenge(): Promise<VersionedChallenge | undefined> {
    const key = challengeRowKey(this.#state.options.region);
    const row = (await this.#tryRead(key))?.row;
    return row && { version: row.version, ...decodeChallengeRow(row.value) };
  }

  /** Writes that this daemon cannot reach the coordinator of `epoch`. */
  async writeChallenge(epoch: number): Promise<void> {
    const { table, metrics, options } = this.#state;
    const key = challengeRowKey(options.region);
    if (await this.#tryRead(key) === undefined) return;
    const challenge = { epoch, daemonId: this.#state.selfId() };
    metrics.count(CounterName.PlatformWrites);
    await table.commit([this.#createWrite(key, JSON.stringify(challenge))]);
  }

  /** Whether this process wrote a lease row with one of its recent writes. */
  isOwnWrite(lease: LeaseRow): boolean {
    return this.#writeIds.includes(lease.writeId);
  }

  /** Writes the lease row, the members row and assignment rows atomically. */
  async commit(commit: LeaseCommit): Promise<CommitOutcome> {
    const { table, metrics } = this.#state;
    metrics.count(CounterName.PlatformWrites);
    const result = await table.commit(this.#createWrites(commit));
    if (result.isErr()) {
      metrics.count(CounterName.PlatformErrors);
      return result.error.outcome === AttemptOutcome.Unknown
        ? CommitOutcome.Unknown
        : CommitOutcome.Failed;
    }
    if (!result.value.isCommitted) return CommitOutcome.Conflict;
    for (const row of result.value.rows) {
      this.#versions.set(row.key, row.version);
    }
    return CommitOutcome.Committed;
  }

  #createWrites(
    { lease, leaseVersion, members, rows }: LeaseCommit,
  ): readonly TableWrite[] {
    const { region } = this.#state.options;
    const writeId = this.#state.random.nextId();
    this.#writeIds = [...this.#writeIds, writeId].slice(-rememberedWriteCount);
    const leaseText = JSON.stringify({ ...lease, writeId });
    const writes: TableWrite[] = [{
      key: leaseRowKey(region),
      value: leaseText,
      expectedVersion: leaseVersion,
    }];
    if (members !== undefined) {
      const text = JSON.stringify(members);
      writes.push(this.#createWrite(membersRowKey(region), text));
    }
    for (const row of rows) {
      const text = encodeAssignmentRow(row);
      writes.push(this.#createWrite(assignmentRowKey(row.service), text));
    }
    return writes;
  }

  #createWrite(key: string, value: string): TableWrite {
    return { key, value, expectedVersion: this.#versions.get(key) ?? 0 };
  }

  async #tryRead(
    key: string,
  ): Promise<{ readonly row: TableRow | undefined } | undefined> {
    const { table, metrics } = this.#state;
    metrics.count(CounterName.PlatformReads);
    const read = await table.read(key);
    if (read.isErr()) {
      metrics.count(CounterName.PlatformErrors);
      return undefined;
    }
    this.#versions.set(key, read.value?.version ?? 0);
    return { row: read.value };
  }
}
