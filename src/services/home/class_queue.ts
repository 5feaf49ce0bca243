/**
 * The bounded queue in front of one backend server's slots. Requests leave it
 * by class, then by plan rank, then in the order of arrival. When it is full,
 * the request that would leave last is shed.
 */
import { RequestClass } from "../../types/enums.ts";
import type { RoutedRequest } from "../../types/types.ts";

/** The classes from first served to last served. */
const classOrder: readonly RequestClass[] = [
  RequestClass.Confirmation,
  RequestClass.LiveRead,
  RequestClass.Archive,
];

/** The part of an entry that determines its priority. */
export interface Prioritized {
  readonly request: Pick<RoutedRequest, "requestClass" | "planRank">;
}

/** A bounded priority queue. */
export class ClassQueue<T extends Prioritized> {
  readonly #capacity: number;
  readonly #entries: T[] = [];

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#entries.length;
  }

  /**
   * Adds an entry; returns the entry that was shed, which may be the added one.
   */
  push(entry: T): T | undefined {
    this.#entries.splice(this.#findPosition(entry), 0, entry);
    return this.#entries.length > this.#capacity
      ? this.#entries.pop()
      : undefined;
  }

  /**
   * Removes and returns the first entry; undefined when it is a disallowed
   * archive entry.
   */
  tryTakeFirst(options: { readonly isArchiveAllowed: boolean }): T | undefined {
    const first = this.#entries[0];
    if (first === undefined) return undefined;
    const isArchive = first.request.requestClass === RequestClass.Archive;
    if (isArchive && !options.isArchiveAllowed) return undefined;
    return this.#entries.shift();
  }

  /** Removes and returns the entries that match. */
  removeWhere(matches: (entry: T) => boolean): T[] {
    const removed = this.#entries.filter(matches);
    if (removed.length === 0) return removed;
    const kept = this.#entries.filter((entry) => !removed.includes(entry));
    this.#entries.splice(0, this.#entries.length, ...kept);
    return removed;
  }

  /** The position after every entry of the same or a higher priority. */
  #findPosition(entry: T): number {
    let low = 0;
    let high = this.#entries.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (comparePriority(this.#entries[middle]!, entry) <= 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

/** Negative when `a` is served before `b`. */
function comparePriority(a: Prioritized, b: Prioritized): number {
  const byClass = classOrder.indexOf(a.request.requestClass) -
    classOrder.indexOf(b.request.requestClass);
  if (byClass !== 0) return byClass;
  return (b.request.planRank ?? 0) - (a.request.planRank ?? 0);
}
