/**
 * The ranges of one service's keys in the key granter: which server each range
 * is to be granted to, which former holders may still hold it, and until when.
 * This module does no I/O.
 *
 * A range may be granted to its target only when no other server can hold it:
 * each former holder has answered a release, or its hold has certainly expired.
 */
import {
  incarnationOf,
  keyCount,
  type KeyInterval,
} from "../../types/routing.ts";
import type { RangeRecord, ServerRef } from "./fleet_rows.ts";

/** The hold of one server on a range, as far as the granter knows. */
export interface Hold {
  readonly server: ServerRef;
  /** The latest end of all grants that were sent, by the granter's monotonic clock. */
  endsAtMs: number;
  /** The latest end of the grants that were not answered and may still take effect. */
  unansweredEndsAtMs: number;
  /** The server has answered a release of the range. */
  isReleased: boolean;
}

/** Consecutive keys with one target. */
export interface KeyRange extends KeyInterval {
  readonly hold: Hold | undefined;
  /** The highest fence of all grants and releases of the keys. */
  fence: number;
  /** The target has accepted a grant. */
  isGranted: boolean;
  /** Daemons may send requests to the target. */
  isServing: boolean;
  /** The target is recorded in the store, so that a later granter reads it. */
  isRecorded: boolean;
  /** Holds of previous targets that may still be in effect. */
  readonly formerHolds: Hold[];
  /** Token from the answer to the last release, which the target's first grant passes on. */
  handoverToken: string | undefined;
}

/** Assigns consecutive keys to another target. */
export interface KeyMove extends KeyInterval {
  readonly target: ServerRef;
}

/** All ranges of a service, in order and without gaps. */
export class KeyRanges {
  /** Instant of the monotonic clock before which nothing is granted, since unknown servers may hold any keys. */
  readonly blockedUntilMs: number;
  readonly #nextFence: () => number;
  #ranges: KeyRange[];
  /** The highest fence of all ranges. */
  #highestFence: number;
  /** The highest fence of the grants to each server, by its id. */
  readonly #highestFenceOf = new Map<string, number>();
  /** The ranges by the incarnations that hold them or held them; undefined after a change of the ranges. */
  #byHolder: ReadonlyMap<string, readonly KeyRange[]> | undefined;

  /**
   * Takes over the recorded ranges. Grants of an earlier granter to the targets
   * may last until `inheritedEndsAtMs`.
   */
  constructor(options: {
    readonly nextFence: () => number;
    readonly records: readonly RangeRecord[];
    readonly inheritedEndsAtMs: number;
    /** An upper bound of the monotonic clock at a time of the store's clock. */
    readonly toLocalTime: (storeMs: number) => number;
    readonly blockedUntilMs?: number;
  }) {
    const { nextFence, records, inheritedEndsAtMs, toLocalTime } = options;
    this.blockedUntilMs = options.blockedUntilMs ?? -Infinity;
    this.#nextFence = nextFence;
    const fence = nextFence();
    this.#highestFence = fence;
    const createInheritedHold = (
      server: ServerRef,
      holdEndsAtMs: number,
    ): Hold => ({
      server,
      endsAtMs: holdEndsAtMs,
      unansweredEndsAtMs: holdEndsAtMs,
      isReleased: false,
    });
    this.#ranges = records.map((record) => ({
      first: record.first,
      last: record.last,
      hold: record.target &&
        createInheritedHold(record.target, inheritedEndsAtMs),
      fence,
      isGranted: false,
      isServing: record.isServing,
      isRecorded: true,
      formerHolds: record.former.map(({ server, endsAtStoreMs }) =>
        createInheritedHold(server, toLocalTime(endsAtStoreMs))
      ),
      handoverToken: undefined,
    }));
    if (this.#ranges.length === 0) this.#ranges.push(createEmptyRange(fence));
  }

  /** Takes the ranges and holds of an ended term over; nothing is granted until it is recorded again. */
  static continue(before: KeyRanges, nextFence: () => number): KeyRanges {
    const ranges = new KeyRanges({
      nextFence,
      records: [],
      inheritedEndsAtMs: -Infinity,
      toLocalTime: (storeMs) => storeMs,
      blockedUntilMs: before.blockedUntilMs,
    });
    const fence = ranges.#highestFence;
    ranges.#ranges = before.all.map((range) => ({
      ...range,
      fence,
      isGranted: false,
      isRecorded: false,
    }));
    return ranges;
  }

  /** The ranges in order. */
  get all(): readonly KeyRange[] {
    return this.#ranges;
  }

  /**
   * The ranges, in order, of which an incarnation is the target or a former
   * holder. Each holder has a task that looks at its ranges several times a
   * second, so that looking at all ranges would cost their product.
   */
  heldBy(incarnation: string): readonly KeyRange[] {
    this.#byHolder ??= groupByHolder(this.#ranges);
    return this.#byHolder.get(incarnation) ?? [];
  }

  /** Whether a range from `all` has not been moved, split or merged since. */
  isCurrent(range: KeyRange): boolean {
    return this.#ranges.includes(range);
  }

  /** Whether a range waits for the end of a hold. */
  isWaitedFor(hold: Hold): boolean {
    return this.#ranges.some(({ formerHolds }) => formerHolds.includes(hold));
  }

  /** Changes the target of keys. */
  move({ first, last, target }: KeyMove): void {
    this.#byHolder = undefined;
    this.#splitAt(first);
    this.#splitAt(last + 1);
    this.#ranges = this.#ranges.map((range) => {
      if (range.first < first || range.last > last) return range;
      const incarnation = incarnationOf(target);
      if (range.hold && incarnationOf(range.hold.server) === incarnation) {
        return range;
      }
      const formerHolds = range.hold === undefined || !wasGranted(range.hold)
        ? range.formerHolds
        : [...range.formerHolds, range.hold];
      // A target that is also a former holder needs no release, because its new
      // grant replaces the former one.
      const earlierHolds = formerHolds.filter(({ server }) =>
        isSameProcess(server, target)
      );
      return {
        ...range,
        hold: createHold(target, earlierHolds),
        fence: this.#fenceAbove(range.fence),
        isGranted: false,
        isServing: false,
        isRecorded: false,
        formerHolds: formerHolds.filter((hold) => !earlierHolds.includes(hold)),
        handoverToken: undefined,
      };
    });
  }

  /**
   * Removes former holds that have ended, by expiry or by release. A newer
   * incarnation that registers elsewhere ends no hold: one that is newer still
   * may have accepted a renewal at the first address.
   */
  removeEndedHolds(nowMs: number): void {
    for (const range of this.#ranges) {
      if (range.formerHolds.length === 0) continue;
      const kept = range.formerHolds.filter((hold) =>
        !hasHoldEnded(hold, nowMs)
      );
      range.formerHolds.splice(0, range.formerHolds.length, ...kept);
    }
  }

  /** Merges adjacent ranges that have the same target and no move in progress. */
  merge(): void {
    this.#byHolder = undefined;
    const merged: KeyRange[] = [];
    for (const range of this.#ranges) {
      const before = merged.at(-1);
      if (before === undefined || !isMergeable(before, range)) {
        merged.push(range);
        continue;
      }
      merged[merged.length - 1] = {
        ...before,
        last: range.last,
        fence: Math.max(before.fence, range.fence),
        hold: {
          ...before.hold!,
          endsAtMs: Math.max(before.hold!.endsAtMs, range.hold!.endsAtMs),
          unansweredEndsAtMs: Math.max(
            before.hold!.unansweredEndsAtMs,
            range.hold!.unansweredEndsAtMs,
          ),
        },
      };
    }
    this.#ranges = merged;
  }

  /** The ranges in the form in which rows store them, with ends by the store's clock. */
  toRecords(toStoreTime: (localMs: number) => number): RangeRecord[] {
    return this.#ranges.map((
      { first, last, hold, isServing, formerHolds },
    ) => ({
      first,
      last,
      target: hold?.server,
      isServing,
      former: formerHolds.map(({ server, endsAtMs }) => ({
        server,
        endsAtStoreMs: toStoreTime(endsAtMs),
      })),
    }));
  }

  /**
   * Raises a range's fence for a grant to its target: above those of all earlier
   * grants and releases of its keys, and of all grants of whatever keys to any
   * incarnation of the target.
   */
  raiseFence(range: KeyRange): void {
    const { id } = range.hold!.server;
    const highestOfServer = this.#highestFenceOf.get(id) ?? 0;
    range.fence = this.#fenceAbove(Math.max(range.fence, highestOfServer));
    this.#highestFenceOf.set(id, range.fence);
  }

  /**
   * A fence above the given one. Ranges of different servers may share it, so
   * that a round of renewals uses up as many fences of the term as one server
   * has ranges.
   */
  #fenceAbove(fence: number): number {
    if (this.#highestFence <= fence) this.#highestFence = this.#nextFence();
    return this.#highestFence;
  }

  /** Splits the range that contains a key, so that a range begins at the key. */
  #splitAt(key: number): void {
    const index = this.#ranges.findIndex((range) =>
      range.first < key && key <= range.last
    );
    if (index === -1) return;
    const range = this.#ranges[index]!;
    const right: KeyRange = {
      ...range,
      first: key,
      hold: range.hold && { ...range.hold },
      formerHolds: range.formerHolds.map((hold) => ({ ...hold })),
    };
    this.#ranges.splice(index, 1, { ...range, last: key - 1 }, right);
  }
}

function groupByHolder(
  ranges: readonly KeyRange[],
): Map<string, readonly KeyRange[]> {
  const groups = new Map<string, KeyRange[]>();
  for (const range of ranges) {
    const holds = [range.hold, ...range.formerHolds];
    const holders = new Set<string>();
    for (const hold of holds) {
      if (hold !== undefined) holders.add(incarnationOf(hold.server));
    }
    for (const holder of holders) {
      const group = groups.get(holder);
      if (group === undefined) groups.set(holder, [range]);
      else group.push(range);
    }
  }
  return groups;
}

/** Whether the range may be granted to its target. */
export function isGrantable(range: KeyRange): boolean {
  return range.hold !== undefined && range.formerHolds.length === 0;
}

/** Whether any grant to the server was sent that may still be in effect. */
function wasGranted(hold: Hold): boolean {
  return hold.endsAtMs > -Infinity;
}

function hasHoldEnded(hold: Hold, nowMs: number): boolean {
  if (nowMs >= hold.endsAtMs) return true;
  return hold.isReleased && nowMs >= hold.unansweredEndsAtMs;
}

function isMergeable(a: KeyRange, b: KeyRange): boolean {
  if (!isStable(a) || !isStable(b)) return false;
  return incarnationOf(a.hold!.server) === incarnationOf(b.hold!.server);
}

function isStable(range: KeyRange): boolean {
  return range.isGranted && range.isServing && range.formerHolds.length === 0;
}

/** Whether commands to either server reach the same process: both are the same incarnation, or the newer one runs at the address of the other. */
function isSameProcess(a: ServerRef, b: ServerRef): boolean {
  return a.id === b.id && a.address === b.address;
}

/** The hold of a new target. Its earlier holds last until it accepts its grant, and may outlast a grant that is not delivered. */
function createHold(server: ServerRef, earlierHolds: readonly Hold[]): Hold {
  const latest = (read: (hold: Hold) => number) =>
    Math.max(-Infinity, ...earlierHolds.map(read));
  return {
    server,
    endsAtMs: latest(({ endsAtMs }) => endsAtMs),
    unansweredEndsAtMs: latest(({ unansweredEndsAtMs }) => unansweredEndsAtMs),
    isReleased: false,
  };
}

function createEmptyRange(fence: number): KeyRange {
  return {
    first: 0,
    last: keyCount - 1,
    hold: undefined,
    fence,
    isGranted: false,
    isServing: false,
    isRecorded: false,
    formerHolds: [],
    handoverToken: undefined,
  };
}
