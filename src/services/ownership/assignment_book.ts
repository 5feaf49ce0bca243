/** The assignments a daemon holds, each replaced only by a newer version. */
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

/** Holds assignments and wakes those who wait for newer ones. */
export class AssignmentBook {
  readonly #rows = new Map<string, AssignmentRow>();
  readonly #servers = new Map<ServerId, AssignedServer>();
  readonly #changes = new EventSource<ServiceAssignment>();
  readonly #waiters = new Set<Waiter>();
  readonly changes = this.#changes.stream;

  /** Takes a row; returns false when it is not newer than the one held. */
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
    this.#wake(row);
    return true;
  }

  /** The row of one service. */
  tryGet(service: string): AssignmentRow | undefined {
    return this.#rows.get(service);
  }

  /** Every row held. */
  rows(): readonly AssignmentRow[] {
    return [...this.#rows.values()];
  }

  /** The version held of each service. */
  heldVersions(): readonly HeldVersion[] {
    return this.rows().map(({ service, version }) => ({ service, version }));
  }

  /** Rows newer than the given versions. */
  newerThan(held: readonly HeldVersion[]): readonly AssignmentRow[] {
    const versions = new Map(held.map((h) => [h.service, h.version]));
    return this.rows().filter((row) =>
      row.version > (versions.get(row.service) ?? 0)
    );
  }

  /** A backend server by its identifier. */
  tryGetServer(serverId: ServerId): AssignedServer | undefined {
    return this.#servers.get(serverId);
  }

  /** The moves recorded in the rows held, oldest first. */
  moves(): readonly MoveRecord[] {
    return this.rows().flatMap((row) => row.moves)
      .sort((a, b) => a.wallTimeMs - b.wallTimeMs);
  }

  /** Finds the owner of a key. */
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

  /** Resolves when a newer version than `version` is held, or on abort. */
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

  #wake(row: AssignmentRow): void {
    for (const waiter of [...this.#waiters]) {
      if (waiter.service !== row.service) continue;
      if (row.version > waiter.version) waiter.resolve();
    }
  }
}
