/**
 * The in-memory copy of the assignments that a daemon routes by. A row is
 * replaced only by a row of a higher version, so that answers that arrive out
 * of order never bring back an old assignment.
 */
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { EventSource } from "../../streams/event_source.ts";
import { RouterError } from "../../types/errors.ts";
import type {
  AssignedServer,
  KeyLocation,
  MoveRecord,
  ServerId,
  ServiceAssignment,
} from "../../types/types.ts";
import { type AssignmentRow, noHomeDaemonId } from "./assignment_codec.ts";
import type { HeldVersion } from "./sync_messages.ts";

interface Waiter {
  readonly service: string;
  readonly version: number;
  readonly resolve: () => void;
}

/** Stores the newest row of each service and resolves pending waits. */
export class AssignmentCache {
  readonly #rows = new Map<string, AssignmentRow>();
  readonly #servers = new Map<ServerId, AssignedServer>();
  readonly #changes = new EventSource<ServiceAssignment>();
  readonly #waiters = new Set<Waiter>();
  readonly changes = this.#changes.stream;

  /** Stores a row; returns false when the stored row is as new or newer. */
  accept(row: AssignmentRow): boolean {
    const held = this.#rows.get(row.service);
    if (held !== undefined && held.version >= row.version) return false;
    for (const server of held?.servers ?? []) {
      this.#servers.delete(server.serverId);
    }
    for (const server of row.servers) {
      this.#servers.set(server.serverId, server);
    }
    this.#rows.set(row.service, row);
    this.#changes.publish(row);
    this.#resolveWaiters(row);
    return true;
  }

  tryGet(service: string): AssignmentRow | undefined {
    return this.#rows.get(service);
  }

  rows(): readonly AssignmentRow[] {
    return [...this.#rows.values()];
  }

  /** The stored version of each service, for a report to the parent. */
  heldVersions(): readonly HeldVersion[] {
    return this.rows().map(({ service, version }) => ({ service, version }));
  }

  listNewerThan(held: readonly HeldVersion[]): readonly AssignmentRow[] {
    const versions = new Map(held.map((h) => [h.service, h.version]));
    return this.rows().filter((row) =>
      row.version > (versions.get(row.service) ?? 0)
    );
  }

  tryGetServer(serverId: ServerId): AssignedServer | undefined {
    return this.#servers.get(serverId);
  }

  /** The moves recorded in the stored rows, oldest first. */
  moves(): readonly MoveRecord[] {
    return this.rows().flatMap((row) => row.moves)
      .sort((a, b) => a.wallTimeMs - b.wallTimeMs);
  }

  /**
   * Finds the owner of a key. Fails with `NoOwner` when the service has no
   * assignment, and with `KeyMoving` while the key has no owner or its owner
   * has no home.
   */
  locate(
    service: string,
    { key, shard }: { readonly key: string; readonly shard: number },
  ): Result<KeyLocation, RouterError> {
    const row = this.#rows.get(service);
    if (row === undefined) {
      return err(
        new RouterError(MessageCode.NoOwner, "locate", {
          detail: `service ${service} has no assignment`,
        }),
      );
    }
    const override = row.overrides.find((o) => o.key === key);
    const server = override === undefined
      ? row.servers[row.shardServers[shard] ?? -1]
      : this.#servers.get(override.serverId);
    if (server === undefined || server.homeDaemonId === noHomeDaemonId) {
      return err(
        new RouterError(MessageCode.KeyMoving, "locate", {
          detail: `shard ${shard}`,
        }),
      );
    }
    const fence = override?.fence ?? row.shardFences[shard] ?? 0;
    return ok({
      service,
      shard,
      server,
      fence,
      assignmentVersion: row.version,
    });
  }

  /** Resolves when a version above `version` is stored, or on abort. */
  waitForNewer(
    service: string,
    version: number,
    signal: AbortSignal,
  ): Promise<void> {
    const held = this.#rows.get(service)?.version ?? 0;
    if (held > version || signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const waiter = { service, version, resolve: finish };
      const waiters = this.#waiters;
      waiters.add(waiter);
      signal.addEventListener("abort", finish, { once: true });
      function finish(): void {
        waiters.delete(waiter);
        signal.removeEventListener("abort", finish);
        resolve();
      }
    });
  }

  #resolveWaiters(row: AssignmentRow): void {
    for (const waiter of [...this.#waiters]) {
      if (waiter.service !== row.service) continue;
      if (row.version > waiter.version) waiter.resolve();
    }
  }
}
