/**
 * The ranges of one service's keys as the key granter sees them: who shall
 * hold each, who may still hold it from before, and until when. Free of I/O.
 *
 * A range may be granted to its target only when no other server can hold it:
 * each former holder has answered a release, or its hold has run out for sure.
 */
import {
  incarnationOf,
  keyCount,
  type KeyInterval,
} from "../../types/routing.ts";
import type { RangeRecord, ServerRef } from "./fleet_rows.ts";

/** What is known about one server's hold on a range. */
export interface Hold {
  readonly server: ServerRef;
  /** No grant that was sent can outlast this, by the granter's steady clock. */
  endsAtMs: number;
  /** As `endsAtMs`, for grants that were never answered and may still apply. */
  unansweredEndsAtMs: number;
  /** The highest fence of those grants; a server that has seen a higher one refuses them. */
  unansweredFence: number;
  /** The server has answered a release of the range. */
  isReleased: boolean;
}

/** Consecutive keys with one target. */
export interface KeyRange extends KeyInterval {
  readonly hold: Hold | undefined;
  /** The fence of the target's grant. */
  fence: number;
  /** The target has accepted a grant with `fence`. */
  isGranted: boolean;
  /** Requests are sent to the target. */
  isServing: boolean;
  /** The store has the target on record, so that a later granter knows of it. */
  isRecorded: boolean;
  /** Servers that may still hold the keys. */
  readonly former: Hold[];
  /** Token of the last release, for the target's first grant. */
  handoverToken: string | undefined;
}

/** A change of the target of some keys. */
export interface KeyMove extends KeyInterval {
  readonly target: ServerRef;
}

/** All ranges of a service, in order and without gaps. */
export class KeyRanges {
  readonly #nextFence: () => number;
  #ranges: KeyRange[];

  /**
   * Takes over the ranges of a row. What an earlier granter has granted to the
   * targets may last until `inheritedUntilMs`.
   */
  constructor(options: {
    readonly nextFence: () => number;
    readonly records: readonly RangeRecord[];
    readonly inheritedUntilMs: number;
    /** An instant of the store's clock by the steady clock, at the latest. */
    readonly toLocalTime: (storeMs: number) => number;
  }) {
    const { nextFence, records, inheritedUntilMs, toLocalTime } = options;
    this.#nextFence = nextFence;
    const fence = nextFence();
    const inherit = (server: ServerRef, untilMs: number): Hold => ({
      server,
      endsAtMs: untilMs,
      unansweredEndsAtMs: untilMs,
      unansweredFence: fence - 1,
      isReleased: false,
    });
    this.#ranges = records.map((record) => ({
      first: record.first,
      last: record.last,
      hold: record.target && inherit(record.target, inheritedUntilMs),
      fence,
      isGranted: false,
      isServing: record.isServing,
      isRecorded: true,
      former: record.former.map(({ server, endsAtStoreMs }) =>
        inherit(server, toLocalTime(endsAtStoreMs))
      ),
      handoverToken: undefined,
    }));
    if (this.#ranges.length === 0) this.#ranges.push(createEmptyRange(fence));
  }

  /** The ranges in order. */
  get all(): readonly KeyRange[] {
    return this.#ranges;
  }

  /** Whether a range was neither moved, split nor merged since it was read. */
  isCurrent(range: KeyRange): boolean {
    return this.#ranges.includes(range);
  }

  /** Gives keys another target. */
  move({ first, last, target }: KeyMove): void {
    this.#splitAt(first);
    this.#splitAt(last + 1);
    this.#ranges = this.#ranges.map((range) => {
      if (range.first < first || range.last > last) return range;
      const name = incarnationOf(target);
      if (range.hold && incarnationOf(range.hold.server) === name) return range;
      const former = range.hold === undefined || !wasGranted(range.hold)
        ? range.former
        : [...range.former, range.hold];
      return {
        ...range,
        hold: createHold(target),
        fence: this.#nextFence(),
        isGranted: false,
        isServing: false,
        isRecorded: false,
        // A target that held the keys before needs no release: its new grant
        // replaces whatever it holds.
        former: former.filter(({ server }) => incarnationOf(server) !== name),
        handoverToken: undefined,
      };
    });
  }

  /** Forgets holds that have ended: by time, by release, or with their holder. */
  settle(nowMs: number, isEnded: (server: ServerRef) => boolean): void {
    for (const range of this.#ranges) {
      if (range.former.length === 0) continue;
      const kept = range.former.filter((hold) =>
        !isHoldOver(hold, nowMs) && !isEnded(hold.server)
      );
      range.former.splice(0, range.former.length, ...kept);
    }
  }

  /** Joins neighbours that have the same target and nothing pending. */
  merge(): void {
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
        fence: this.#nextFence(),
        hold: {
          ...before.hold!,
          endsAtMs: Math.max(before.hold!.endsAtMs, range.hold!.endsAtMs),
          unansweredEndsAtMs: Math.max(
            before.hold!.unansweredEndsAtMs,
            range.hold!.unansweredEndsAtMs,
          ),
          unansweredFence: Math.max(
            before.hold!.unansweredFence,
            range.hold!.unansweredFence,
          ),
        },
      };
    }
    this.#ranges = merged;
  }

  /** The ranges as rows hold them, with ends by the store's clock. */
  toRecords(toStoreTime: (localMs: number) => number): RangeRecord[] {
    return this.#ranges.map(({ first, last, hold, isServing, former }) => ({
      first,
      last,
      target: hold?.server,
      isServing,
      former: former.map(({ server, endsAtMs }) => ({
        server,
        endsAtStoreMs: toStoreTime(endsAtMs),
      })),
    }));
  }

  /** Raises a range's fence, so that its next grant voids the earlier ones. */
  raiseFence(range: KeyRange): void {
    range.fence = this.#nextFence();
  }

  /** Makes a range begin at a key. */
  #splitAt(key: number): void {
    const place = this.#ranges.findIndex((range) =>
      range.first < key && key <= range.last
    );
    if (place === -1) return;
    const range = this.#ranges[place]!;
    const right: KeyRange = {
      ...range,
      first: key,
      hold: range.hold && { ...range.hold },
      former: range.former.map((hold) => ({ ...hold })),
    };
    this.#ranges.splice(place, 1, { ...range, last: key - 1 }, right);
  }
}

/** Whether the range may be granted to its target. */
export function isGrantable(range: KeyRange): boolean {
  return range.hold !== undefined && range.former.length === 0;
}

/** Whether any grant was sent. */
function wasGranted(hold: Hold): boolean {
  return hold.endsAtMs > -Infinity;
}

function isHoldOver(hold: Hold, nowMs: number): boolean {
  if (nowMs >= hold.endsAtMs) return true;
  return hold.isReleased && nowMs >= hold.unansweredEndsAtMs;
}

function isMergeable(a: KeyRange, b: KeyRange): boolean {
  if (!isQuiet(a) || !isQuiet(b)) return false;
  return incarnationOf(a.hold!.server) === incarnationOf(b.hold!.server);
}

function isQuiet(range: KeyRange): boolean {
  return range.isGranted && range.isServing && range.former.length === 0;
}

function createHold(server: ServerRef): Hold {
  return {
    server,
    endsAtMs: -Infinity,
    unansweredEndsAtMs: -Infinity,
    unansweredFence: -Infinity,
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
    former: [],
    handoverToken: undefined,
  };
}
