/** Where an update of a table's copy came from, and how old the copy was before it. */

/** Who supplies a daemon with the changes of the store's tables. */
export enum TableSource {
  /** The daemon reads the store itself. */
  Store = "store",
  /** The key granter reads the store for the fleet. */
  Granter = "granter",
  /** Another daemon passes on what it knows while this daemon is cut off. */
  Peer = "peer",
}

/** The origin of one update. */
export interface UpdateOrigin {
  readonly source: TableSource;
  /** The era of the store that the update is of. */
  readonly era: number;
  /** Time since the copy was last known to be current; undefined for the first update. */
  readonly silentMs: number | undefined;
}
