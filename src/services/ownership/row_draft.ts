/**
 * The next assignment row of one service while it is being planned. A home,
 * shard or key is withdrawn and assigned in separate operations, because it may
 * be assigned only after its release is complete. The planners determine which
 * operation is due.
 */
import type { BackendServerState, MoveReason } from "../../types/enums.ts";
import type {
  AssignedServer,
  DaemonId,
  MoveRecord,
  ServerId,
} from "../../types/types.ts";
import {
  type AssignmentRow,
  noHomeDaemonId,
  noServerId,
  noServerIndex,
  type PendingRelease,
  ReleaseKind,
} from "./assignment_codec.ts";

const moveHistoryLimit = 50;

/** Why a shard, key or home moves, and from which server. */
export interface MoveCause {
  readonly reason: MoveReason;
  readonly fromServerId: ServerId | undefined;
}

interface OverrideDraft {
  readonly serverId: ServerId;
  readonly fence: number;
}

/** Values that the coordinator supplies for each new row. */
export interface RowMetadata {
  readonly service: string;
  readonly shardCount: number;
  readonly epoch: number;
  readonly wallTimeMs: number;
  readonly writeId: string;
}

/** A mutable copy of a row, with the next version. */
export class RowDraft {
  readonly version: number;
  readonly servers: Map<ServerId, AssignedServer>;
  readonly owners: (ServerId | undefined)[];
  readonly overrides: Map<string, OverrideDraft>;
  pendingReleases: PendingRelease[];
  readonly #metadata: RowMetadata;
  readonly #fences: number[];
  readonly #moves: MoveRecord[];
  #isChanged = false;

  constructor(metadata: RowMetadata, row: AssignmentRow | undefined) {
    this.#metadata = metadata;
    this.version = (row?.version ?? 0) + 1;
    this.servers = new Map(row?.servers.map((s) => [s.serverId, s]));
    this.owners = Array.from(
      { length: metadata.shardCount },
      (_, shard) => row?.servers[row.shardServers[shard] ?? -1]?.serverId,
    );
    this.#fences = Array.from(
      { length: metadata.shardCount },
      (_, shard) => row?.shardFences[shard] ?? 0,
    );
    this.overrides = new Map(row?.overrides.map((o) => [o.key, o]));
    this.pendingReleases = [...row?.pendingReleases ?? []];
    this.#moves = [...row?.moves ?? []];
  }

  /** Whether the draft was changed since it was created. */
  isChanged(): boolean {
    return this.#isChanged;
  }

  /** Adds a server, or replaces the server of the same identifier. */
  putServer(server: AssignedServer): void {
    this.servers.set(server.serverId, server);
    this.#isChanged = true;
  }

  setState(serverId: ServerId, state: BackendServerState): void {
    const server = this.servers.get(serverId)!;
    if (server.state !== state) this.putServer({ ...server, state });
  }

  /** Removes a server that owns nothing. */
  removeServer(serverId: ServerId): void {
    this.servers.delete(serverId);
    this.#isChanged = true;
  }

  /** Removes the releases that are complete, and returns them. */
  removeReleased(
    isReleased: (release: PendingRelease) => boolean,
  ): readonly PendingRelease[] {
    const released = this.pendingReleases.filter(isReleased);
    if (released.length === 0) return released;
    this.pendingReleases = this.pendingReleases
      .filter((release) => !released.includes(release));
    this.#isChanged = true;
    return released;
  }

  /** Withdraws a server from its home. */
  withdrawHome(serverId: ServerId, reason: MoveReason): void {
    const server = this.servers.get(serverId)!;
    this.#addRelease({ kind: ReleaseKind.Home, serverId, reason });
    this.putServer({ ...server, homeDaemonId: noHomeDaemonId });
  }

  /**
   * Assigns a home to a server without one. The fences of the server, its
   * shards and its keys increase to the new version.
   */
  assignHome(serverId: ServerId, daemonId: DaemonId, reason: MoveReason): void {
    const server = this.servers.get(serverId)!;
    this.putServer({
      ...server,
      homeDaemonId: daemonId,
      homeFence: this.version,
    });
    let shardCount = 0;
    for (const [shard, owner] of this.owners.entries()) {
      if (owner !== serverId) continue;
      this.#fences[shard] = this.version;
      shardCount += 1;
    }
    for (const [key, override] of this.overrides) {
      if (override.serverId !== serverId) continue;
      this.overrides.set(key, { serverId, fence: this.version });
    }
    this.#recordMove({ reason, fromServerId: serverId }, {
      toServerId: serverId,
      shardCount,
    });
  }

  /** Withdraws shards from their owner. */
  withdrawShards(
    serverId: ServerId,
    shards: readonly number[],
    plan: { readonly reason: MoveReason; readonly toServerId?: ServerId },
  ): void {
    if (shards.length === 0) return;
    for (const shard of shards) this.owners[shard] = undefined;
    this.#addRelease({ kind: ReleaseKind.Shards, serverId, shards, ...plan });
    this.#isChanged = true;
  }

  /** Assigns a shard without an owner to a server. */
  assignShard(shard: number, toServerId: ServerId, cause: MoveCause): void {
    this.owners[shard] = toServerId;
    this.#fences[shard] = this.version;
    this.#recordMove(cause, { toServerId, shardCount: 1 });
    this.#isChanged = true;
  }

  /** Withdraws a key from its owner by shard or by override. */
  withdrawKey(
    key: string,
    serverId: ServerId,
    plan: { readonly reason: MoveReason; readonly toServerId?: ServerId },
  ): void {
    this.overrides.set(key, { serverId: noServerId, fence: this.version });
    this.#addRelease({ kind: ReleaseKind.Key, serverId, key, ...plan });
    this.#isChanged = true;
  }

  /** Assigns a withdrawn key to a server by an override. */
  assignKey(key: string, toServerId: ServerId, cause: MoveCause): void {
    this.overrides.set(key, { serverId: toServerId, fence: this.version });
    this.#recordMove(cause, { toServerId, shardCount: 0, key });
    this.#isChanged = true;
  }

  /** Returns a withdrawn key to its shard, whose fence increases. */
  removeOverride(key: string, shard: number, cause: MoveCause): void {
    this.overrides.delete(key);
    this.#fences[shard] = this.version;
    const toServerId = this.owners[shard];
    this.#recordMove(cause, { toServerId, shardCount: 0, key });
    this.#isChanged = true;
  }

  build(): AssignmentRow {
    const servers = [...this.servers.values()]
      .sort((a, b) => a.serverId < b.serverId ? -1 : 1);
    const indexes = new Map(servers.map((s, index) => [s.serverId, index]));
    return {
      service: this.#metadata.service,
      epoch: this.#metadata.epoch,
      version: this.version,
      writeId: this.#metadata.writeId,
      servers,
      shardServers: this.owners.map((owner) =>
        indexes.get(owner ?? noServerId) ?? noServerIndex
      ),
      shardFences: this.#fences,
      overrides: [...this.overrides].map(([key, o]) => ({
        key,
        serverId: o.serverId,
        fence: o.fence,
      })),
      pendingReleases: this.pendingReleases,
      moves: this.#moves.slice(-moveHistoryLimit),
    };
  }

  /**
   * Adds a pending release for the server's home, or for its former home while
   * that home's release of the server is pending. Adds none when no daemon may
   * have an in-flight request at the server.
   */
  #addRelease(
    parts:
      & Pick<PendingRelease, "kind" | "serverId" | "reason">
      & Partial<PendingRelease>,
  ): void {
    const daemonId = this.#tryGetReleasingDaemon(parts.serverId);
    if (daemonId === undefined) return;
    this.pendingReleases.push({
      shards: [],
      key: undefined,
      toServerId: undefined,
      ...parts,
      daemonId,
      sinceVersion: this.version,
    });
  }

  /** The daemon that may have in-flight requests at a server, if any. */
  #tryGetReleasingDaemon(serverId: ServerId): DaemonId | undefined {
    const home = this.servers.get(serverId)?.homeDaemonId;
    if (home !== undefined && home !== noHomeDaemonId) return home;
    return this.pendingReleases.find((release) =>
      release.kind === ReleaseKind.Home && release.serverId === serverId
    )?.daemonId;
  }

  /** Adds a move to the history; merges equal moves of one version. */
  #recordMove(
    cause: MoveCause,
    move: Pick<MoveRecord, "toServerId" | "shardCount"> & { key?: string },
  ): void {
    const last = this.#moves.findLast((m) =>
      m.version === this.version && m.reason === cause.reason &&
      m.fromServerId === cause.fromServerId &&
      m.toServerId === move.toServerId && m.key === move.key
    );
    const shardCount = (last?.shardCount ?? 0) + move.shardCount;
    if (last !== undefined) this.#moves.splice(this.#moves.indexOf(last), 1);
    this.#moves.push({
      service: this.#metadata.service,
      epoch: this.#metadata.epoch,
      version: this.version,
      wallTimeMs: this.#metadata.wallTimeMs,
      reason: cause.reason,
      fromServerId: cause.fromServerId,
      toServerId: move.toServerId,
      shardCount,
      key: move.key,
    });
  }
}
