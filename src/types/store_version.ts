/**
 * Versions of the store's contents. The store may come back from an older copy
 * and give versions out again; each time its era rises by one, so that versions
 * are compared era first.
 */

/** A version of the store's contents. */
export interface StoreVersion {
  /** Rises whenever the store comes back from an older copy. */
  readonly era: number;
  /** Rises with each transaction of an era. */
  readonly number: number;
}

/** Negative if `a` precedes `b`, positive if it follows `b`, and 0 if they are equal. */
export function compareStoreVersions(a: StoreVersion, b: StoreVersion): number {
  return a.era === b.era ? a.number - b.number : a.era - b.era;
}
