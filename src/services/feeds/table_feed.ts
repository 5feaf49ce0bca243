/**
 * The contract of the table feed, which keeps copies of the store's tables
 * current, either from the store or from the relay: the daemon that reads the
 * store for the fleet.
 */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ChangeSignal } from "../../streams/change_signal.ts";
import type { StoreVersion } from "../../types/store_version.ts";
import type { TableReader, TableUpdate } from "./table_copy.ts";

/** Updates by the name of their table. */
export type TableUpdates = ReadonlyMap<string, TableUpdate>;

/** Options of a subscription to a table. */
export interface FollowOptions {
  readonly reader: TableReader;
  readonly signal: AbortSignal;
  /** Whether the first snapshot is read from the store immediately; otherwise the feed first waits a short time for a relay. */
  readonly readsStoreImmediately?: boolean;
}

/** Keeps copies of tables current. */
export abstract class TableFeed extends Service {
  override readonly name = ServiceName.TableFeed;

  /** Notified after each update of any table. */
  abstract readonly changed: ChangeSignal;

  /**
   * Follows a table until the signal aborts. Several readers may follow one
   * table; they share its copy, and the first one decides how it is read.
   */
  abstract follow(table: string, options: FollowOptions): Promise<void>;

  /** The version of each copy by table; undefined before the first snapshot. */
  abstract versions(): ReadonlyMap<string, StoreVersion | undefined>;

  /** Notified when `isCutOff` changes. */
  abstract readonly cutOffChanged: ChangeSignal;

  /** Whether the store does not answer for some table, and no relay supplies the tables. */
  abstract isCutOff(): boolean;

  /** The time until the oldest copy reaches `maxAgeMs`; zero or negative when a copy is older. */
  abstract remainingFreshMs(maxAgeMs: number): number;

  /** Returns the updates that copies of the given versions lack. */
  abstract updatesAfter(
    versions: ReadonlyMap<string, StoreVersion | undefined>,
  ): TableUpdates;

  /** Applies updates that the relay sent. */
  abstract applyRelayed(updates: TableUpdates): void;

  /** Applies updates that another daemon passed on; this daemon stays cut off. */
  abstract applyFromPeer(updates: TableUpdates): void;

  /** Sets whether tables come from the relay instead of the store. */
  abstract setUsesRelay(usesRelay: boolean): void;

  /**
   * Sets whether the relay can be reached although the store does not answer
   * it. The relay then probes the store for the fleet, and this daemon seldom.
   */
  abstract setRelayProbesStore(relayProbesStore: boolean): void;

  /** Sets the number of daemons that read the store; more readers poll it less often. */
  abstract setReaderCount(count: number): void;

  /** Sets whether this daemon is the relay, which polls the store more often than others. */
  abstract setActsAsRelay(actsAsRelay: boolean): void;
}
