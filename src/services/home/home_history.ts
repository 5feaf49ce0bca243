/**
 * Keeps the last home and standby of each shard and hot key, so that a daemon
 * that becomes home knows which daemons hold the idempotency records. A shard
 * that has no owner at present keeps its last home.
 */
import type {
  AssignedServer,
  DaemonId,
  ServiceAssignment,
} from "../../types/types.ts";
import { tryFindServer } from "./assignment_rules.ts";

/** The home and standby that hold the records of a set of shards and keys. */
export interface RecordHolders {
  readonly service: string;
  readonly homeId: DaemonId;
  readonly standbyId: DaemonId | undefined;
  readonly shards: ReadonlySet<number>;
  readonly keys: ReadonlySet<string>;
}

/** What an assignment changed for one daemon. */
export interface HomeChange {
  /**
   * Former holders of the shards and keys that the daemon is now home or
   * standby of.
   */
  readonly takenOverFrom: readonly RecordHolders[];
  /** Shards and keys of which the daemon stays home, with their new standby. */
  readonly newStandbys: readonly RecordHolders[];
}

type HomePair = Pick<RecordHolders, "homeId" | "standbyId">;

interface ServiceHomes {
  readonly shards: (HomePair | undefined)[];
  readonly keys: Map<string, HomePair>;
}

/** Groups shards and keys by their home and standby. */
class RecordHolderGroups {
  readonly #service: string;
  readonly #groups = new Map<
    string,
    HomePair & { readonly shards: Set<number>; readonly keys: Set<string> }
  >();

  constructor(service: string) {
    this.#service = service;
  }

  getOrCreateGroup(pair: HomePair) {
    const groupId = JSON.stringify([pair.homeId, pair.standbyId]);
    const group = this.#groups.get(groupId) ??
      { ...pair, shards: new Set<number>(), keys: new Set<string>() };
    this.#groups.set(groupId, group);
    return group;
  }

  list(): RecordHolders[] {
    return [...this.#groups.values()]
      .map((group) => ({ service: this.#service, ...group }));
  }
}

/** The daemon that receives an assignment. */
export interface HomeHistoryOptions {
  readonly selfId: DaemonId;
  /** The shard of a key; undefined when the key cannot be located. */
  tryGetShard(key: string): number | undefined;
}

/** The last home of every shard and hot key. */
export class HomeHistory {
  readonly #services = new Map<string, ServiceHomes>();

  /** Records an assignment and returns the changes for the daemon `selfId`. */
  noteAssignment(
    assignment: ServiceAssignment,
    options: HomeHistoryOptions,
  ): HomeChange {
    const { service } = assignment;
    const homes = this.#services.get(service) ??
      { shards: [], keys: new Map() };
    this.#services.set(service, homes);
    const change = new ChangeCollector(service, options.selfId);
    updateKeys(homes, { assignment, options, change });
    for (const [shard, index] of assignment.shardServers.entries()) {
      const server = assignment.servers[index];
      if (server === undefined) continue;
      const current = createHomePair(server);
      change.tryGetChangedGroup(homes.shards[shard], current)?.shards.add(
        shard,
      );
      homes.shards[shard] = current;
    }
    return change.result();
  }
}

/** Collects the changes for one daemon. */
class ChangeCollector {
  readonly #selfId: DaemonId;
  readonly #takenOver: RecordHolderGroups;
  readonly #newStandbys: RecordHolderGroups;

  constructor(service: string, selfId: DaemonId) {
    this.#selfId = selfId;
    this.#takenOver = new RecordHolderGroups(service);
    this.#newStandbys = new RecordHolderGroups(service);
  }

  /**
   * The group that a change belongs to; undefined when the daemon has nothing
   * to do.
   */
  tryGetChangedGroup(former: HomePair | undefined, current: HomePair) {
    if (former === undefined) return undefined;
    if (current.homeId !== this.#selfId) {
      return this.#isStandbyOfNewHome(former, current)
        ? this.#takenOver.getOrCreateGroup(former)
        : undefined;
    }
    if (former.homeId !== this.#selfId) {
      return this.#takenOver.getOrCreateGroup(former);
    }
    return former.standbyId === current.standbyId
      ? undefined
      : this.#newStandbys.getOrCreateGroup(current);
  }

  /**
   * Whether this daemon is the standby of a new home and has no copy of the
   * records yet. The new home may be lost before it has fetched the records, so
   * its standby fetches them as well.
   */
  #isStandbyOfNewHome(former: HomePair, current: HomePair): boolean {
    if (current.standbyId !== this.#selfId) return false;
    return former.homeId !== current.homeId && former.homeId !== this.#selfId &&
      former.standbyId !== this.#selfId;
  }

  result(): HomeChange {
    return {
      takenOverFrom: this.#takenOver.list(),
      newStandbys: this.#newStandbys.list(),
    };
  }
}

/** Updates the keys that have an override or had one before. */
function updateKeys(
  homes: ServiceHomes,
  { assignment, options, change }: {
    readonly assignment: ServiceAssignment;
    readonly options: HomeHistoryOptions;
    readonly change: ChangeCollector;
  },
): void {
  const overrides = new Map(
    assignment.overrides.map(({ key, serverId }) => [key, serverId]),
  );
  for (const key of new Set([...homes.keys.keys(), ...overrides.keys()])) {
    const shard = options.tryGetShard(key) ?? -1;
    const serverId = overrides.get(key);
    const server = serverId === undefined
      ? assignment.servers[assignment.shardServers[shard] ?? -1]
      : tryFindServer(assignment, serverId);
    if (server === undefined) continue;
    const former = homes.keys.get(key) ?? homes.shards[shard];
    const current = createHomePair(server);
    change.tryGetChangedGroup(former, current)?.keys.add(key);
    if (serverId === undefined) homes.keys.delete(key);
    else homes.keys.set(key, current);
  }
}

function createHomePair(server: AssignedServer): HomePair {
  return { homeId: server.homeDaemonId, standbyId: server.standbyDaemonId };
}
