/** The contract of the key space, which provides the owners of keys as far as this daemon knows them. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ChangeSignal } from "../../streams/change_signal.ts";
import type {
  GranterRecord,
  KeysRow,
  KeysRowId,
  ServerRef,
} from "./fleet_rows.ts";

/** Whether a key can be served. */
export enum OwnershipState {
  /** The owner takes requests. */
  Owned = "owned",
  /** The next owner is known and will take requests shortly. */
  Moving = "moving",
  /** No server can own the key now. */
  Unowned = "unowned",
}

/** The owner of a key. */
export interface KeyOwnership {
  readonly state: OwnershipState;
  /** The owner, or the next owner while the key is moving. */
  readonly server: ServerRef | undefined;
  /** Previous owners of a moving key that have yet to release it. */
  readonly formerServers: readonly ServerRef[];
  /** How long a moving key has been moving, as far as this daemon knows. */
  readonly movingMs: number;
}

/** Provides the owners of keys, the size of the fleet, and its key granter. */
export abstract class KeySpace extends Service {
  override readonly name = ServiceName.KeySpace;

  /** Notified after each change of an owner. */
  abstract readonly changed: ChangeSignal;

  /** Whether the owners of all keys of a service have been read. */
  abstract isLoaded(service: string): boolean;

  /** The owner of a key of a service. */
  abstract ownerOf(service: string, key: number): KeyOwnership;

  /** Version of the newest row with owners of a service's keys; 0 when there is none. */
  abstract versionOf(service: string): number;

  /** The newest row with owners that this daemon knows; the store may have lost it. */
  abstract tryGetRow(id: KeysRowId): KeysRow | undefined;

  /** The number of daemons in the fleet, at least 1. */
  abstract daemonCount(): number;

  /** The ids of the daemons in the fleet, as far as this daemon knows them; ids are only added. */
  abstract daemonIds(): readonly string[];

  /** Where other daemons receive the fleet's calls (`host:port`), as far as this daemon knows; some may be gone. */
  abstract peerAddresses(): readonly string[];

  /** Whether another daemon has far more processor cores than this one. */
  abstract hasStrongerDaemon(): boolean;

  /** The number of daemons, this one included, that do not have far fewer processor cores than this one. */
  abstract comparableDaemonCount(): number;

  /** The key granter's address and term; undefined when no key granter is known. */
  abstract granter(): GranterRecord | undefined;
}
