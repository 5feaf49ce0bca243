/**
 * The grants that one backend server holds from this home. A grant never
 * outlasts the home's permit. Its duration is counted here from before the
 * send, so that the grant never expires on the server before it expires here.
 */
import type { Clock } from "../../host/clock.ts";
import type {
  BackendGrant,
  BackendTransport,
} from "../../host/backend_transport.ts";
import { DeadlineSignal } from "../../host/deadline_signal.ts";
import type {
  AssignedServer,
  KeyLocation,
  ServiceAssignment,
} from "../../types/types.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";

const grantDurationMs = 1_500;
const grantTimeoutMs = 400;
/** A grant is renewed when its remaining time falls below this value. */
const renewalThresholdMs = 900;

/** The shards and keys that share one fence. */
interface FenceGroup {
  readonly fence: number;
  readonly shards: number[];
  readonly keys: string[];
}

interface HeldGrant {
  readonly group: FenceGroup;
  readonly shards: ReadonlySet<number>;
  readonly keys: ReadonlySet<string>;
  readonly expiresAtMs: number;
}

export interface ServerGrantsOptions {
  readonly clock: Clock;
  readonly transport: BackendTransport;
  readonly service: string;
  readonly server: AssignedServer;
}

/** Issues, renews and revokes the grants of one backend server. */
export class ServerGrants {
  readonly #options: ServerGrantsOptions;
  readonly #heldGrants = new Map<number, HeldGrant>();
  readonly #changed = new ChangeSignal();

  constructor(options: ServerGrantsOptions) {
    this.#options = options;
  }

  /**
   * Whether the server holds an unexpired grant for the location or the key.
   */
  isGranted(location: KeyLocation, key: string): boolean {
    const held = this.#heldGrants.get(location.fence);
    if (held === undefined) return false;
    if (this.#options.clock.nowMs() >= held.expiresAtMs) return false;
    return held.shards.has(location.shard) || held.keys.has(key);
  }

  /**
   * Discards the grant of a fence after the server refused a request with this
   * fence, so that the grant is issued again.
   */
  invalidate(fence: number): void {
    this.#heldGrants.delete(fence);
  }

  /**
   * Discards every grant, because the server may have restarted and lost them.
   */
  invalidateAll(): void {
    this.#heldGrants.clear();
  }

  /** Waits for the next grant, or until `signal` aborts. */
  waitForChange(signal: AbortSignal): Promise<void> {
    return this.#changed.wait(signal);
  }

  /**
   * Makes the server's grants match the assignment: revokes the shards and keys
   * that the server no longer owns, then issues the grants that are missing and
   * renews those that expire soon.
   */
  async maintain(
    assignment: ServiceAssignment,
    permitExpiresAtMs: number,
  ): Promise<void> {
    const wanted = groupByFence(assignment, this.#options.server.serverId);
    for (const [fence, { group }] of [...this.#heldGrants]) {
      const kept = wanted.get(fence);
      const removed = subtract(group, kept);
      if (removed === undefined) continue;
      this.#heldGrants.delete(fence);
      await this.#revoke(removed);
    }
    for (const group of wanted.values()) {
      if (this.#needsGrant(group)) await this.#grant(group, permitExpiresAtMs);
    }
  }

  /** Revokes every grant, after the server was removed from the assignment. */
  async revokeAll(): Promise<void> {
    const held = [...this.#heldGrants.values()];
    this.#heldGrants.clear();
    for (const { group } of held) await this.#revoke(group);
  }

  #needsGrant(group: FenceGroup): boolean {
    const held = this.#heldGrants.get(group.fence);
    if (held === undefined) return true;
    if (subtract(group, held.group) !== undefined) return true;
    return held.expiresAtMs - this.#options.clock.nowMs() < renewalThresholdMs;
  }

  async #grant(
    group: FenceGroup,
    permitExpiresAtMs: number,
  ): Promise<void> {
    const { clock, transport, server } = this.#options;
    const nowMs = clock.nowMs();
    const durationMs = Math.min(grantDurationMs, permitExpiresAtMs - nowMs);
    if (durationMs <= 0) return;
    const timeout = new DeadlineSignal(clock, { atMs: nowMs + grantTimeoutMs });
    const result = await transport.grant(
      server,
      this.#createGrant(group, durationMs),
      timeout.signal,
    );
    timeout.dispose();
    if (result.isErr()) return;
    this.#heldGrants.set(group.fence, {
      group,
      shards: new Set(group.shards),
      keys: new Set(group.keys),
      expiresAtMs: nowMs + durationMs,
    });
    this.#changed.notify();
  }

  async #revoke(group: FenceGroup): Promise<void> {
    const { clock, transport, server } = this.#options;
    const timeout = new DeadlineSignal(clock, {
      atMs: clock.nowMs() + grantTimeoutMs,
    });
    await transport.revoke(server, this.#createGrant(group, 0), timeout.signal);
    timeout.dispose();
  }

  #createGrant(group: FenceGroup, durationMs: number): BackendGrant {
    return {
      service: this.#options.service,
      shards: group.shards,
      keys: group.keys,
      fence: group.fence,
      grantDurationMs: Math.floor(durationMs),
    };
  }
}

/** Groups the shards and keys of one server by their fence. */
function groupByFence(
  assignment: ServiceAssignment,
  serverId: string,
): Map<number, FenceGroup> {
  const groups = new Map<number, FenceGroup>();
  function getOrCreateGroup(fence: number): FenceGroup {
    const group = groups.get(fence) ?? { fence, shards: [], keys: [] };
    groups.set(fence, group);
    return group;
  }
  for (const [shard, index] of assignment.shardServers.entries()) {
    if (assignment.servers[index]?.serverId !== serverId) continue;
    getOrCreateGroup(assignment.shardFences[shard] ?? 0).shards.push(shard);
  }
  for (const override of assignment.overrides) {
    if (override.serverId !== serverId) continue;
    getOrCreateGroup(override.fence).keys.push(override.key);
  }
  return groups;
}

/**
 * The shards and keys of `group` that are not in `other`; undefined when there
 * are none.
 */
function subtract(
  group: FenceGroup,
  other: FenceGroup | undefined,
): FenceGroup | undefined {
  const otherShards = new Set(other?.shards);
  const otherKeys = new Set(other?.keys);
  const shards = group.shards.filter((shard) => !otherShards.has(shard));
  const keys = group.keys.filter((key) => !otherKeys.has(key));
  if (shards.length === 0 && keys.length === 0) return undefined;
  return { fence: group.fence, shards, keys };
}
