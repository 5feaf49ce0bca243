/**
 * Decides which keys change their owner: unowned keys are assigned to the least
 * loaded servers, and the busiest parts of overloaded servers move to the least
 * loaded ones. Parts with many requests and few keys move first, so that few
 * keys move. Answers uneven demand and uneven servers: a key that becomes busy
 * at once is relieved of its neighbours while other moves are in progress. This module does no I/O.
 */
import {
  incarnationOf,
  type KeyInterval,
  type ServerEntry,
} from "../../types/routing.ts";
import type { ServerRef } from "./fleet_rows.ts";
import type { KeyMove, KeyRange } from "./key_ranges.ts";
import type { KeyWeights } from "./key_load.ts";

/** Keys move away from a server whose load exceeds its fair load by this factor. */
const overloadFactor = 1.1;
/** Number of standard deviations of the sample by which the load must also exceed `overloadFactor` times the fair load. */
const overloadStandardDeviations = 1.5;
/** As `overloadFactor`, for servers that are relieved while moves are in progress. */
const severeOverloadFactor = 2;
/** Keys move to a server whose load is below its fair load times this factor. */
const idleFactor = 0.5;
/** Number of parts in which a server with no load receives a fair load of unowned keys. */
const unownedPartsPerFairLoad = 2;
/** Maximum number of balancing moves in one plan: `base` in a small fleet, or a number per server in a large one. */
const maxBalancingMoves = { base: 12, perServer: 0.5 };
/** A bucket that cannot be divided moves only to a server that is faster by at least this factor. */
const fasterServerFactor = 1.25;
/** Maximum weight of a part, relative to the wanted weight. */
const maxWeightFactor = 1.4;
/** Minimum weight of a part, relative to the wanted weight; a lighter part is not worth a move. */
const minWeightFactor = 0.25;

/** Which servers keys may move away from to balance the load. */
export enum BalanceScope {
  None = "none",
  /** Those with far more than their fair load. */
  SeverelyOverloaded = "severely-overloaded",
  All = "all",
}

/** A server that can own keys, with its load in this plan. */
interface Candidate {
  readonly server: ServerRef;
  /** The share of the total load that corresponds to the server's slots and their speed. */
  readonly fairLoad: number;
  load: number;
  /** Keys that the server owns and that may move away. */
  readonly parts: KeyInterval[];
}

/** Plans moves for one service. */
export function planKeyMoves(options: {
  readonly ranges: readonly KeyRange[];
  readonly servers: readonly ServerEntry[];
  readonly weights: KeyWeights;
  /** Speed of a server's slots, relative to the mean of all servers. */
  readonly speedOf: (incarnation: string) => number;
  readonly scope: BalanceScope;
}): KeyMove[] {
  const { ranges, servers, weights, scope } = options;
  if (servers.length === 0) return [];
  const candidates = createCandidates(options);
  const unowned: KeyInterval[] = [];
  let pendingCount = 0;
  for (const range of ranges) {
    const owner = range.hold &&
      candidates.get(incarnationOf(range.hold.server));
    if (owner === undefined) unowned.push(range);
    else {
      owner.load += weights.weightOf(range.first, range.last);
      if (isPending(range)) pendingCount += 1;
      else owner.parts.push({ first: range.first, last: range.last });
    }
  }
  const moves = assignUnowned(unowned, [...candidates.values()], weights);
  if (scope !== BalanceScope.None && moves.length === 0) {
    moves.push(
      ...planBalancingMoves([...candidates.values()], {
        weights,
        scope,
        pendingCount,
      }),
    );
  }
  return moves;
}

/** Whether the range has yet to reach its owner. */
export function isPending({ isGranted, formerHolds }: KeyRange): boolean {
  return !isGranted || formerHolds.length > 0;
}

function createCandidates({ servers, weights, speedOf }: {
  readonly servers: readonly ServerEntry[];
  readonly weights: KeyWeights;
  readonly speedOf: (incarnation: string) => number;
}): Map<string, Candidate> {
  const capacityOf = (server: ServerEntry) =>
    server.slotCount * speedOf(incarnationOf(server));
  const total = servers.reduce((sum, server) => sum + capacityOf(server), 0);
  return new Map(
    servers.map((server) => [incarnationOf(server), {
      server: {
        id: server.id,
        bornAtMs: server.bornAtMs,
        address: server.address,
      },
      fairLoad: weights.total * capacityOf(server) / total,
      load: 0,
      parts: [],
    }]),
  );
}

function assignUnowned(
  unowned: readonly KeyInterval[],
  candidates: readonly Candidate[],
  weights: KeyWeights,
): KeyMove[] {
  const moves: KeyMove[] = [];
  for (const interval of unowned) {
    let { first } = interval;
    while (first <= interval.last) {
      const destination = findLeastLoaded(candidates);
      const wantedWeight = destination.fairLoad / unownedPartsPerFairLoad;
      const last = weights.lastKeyWithinWeight(
        first,
        interval.last,
        wantedWeight,
      );
      moves.push({ first, last, target: destination.server });
      destination.load += weights.weightOf(first, last);
      first = last + 1;
    }
  }
  return moves;
}

function planBalancingMoves(
  candidates: readonly Candidate[],
  { weights, scope, pendingCount }: {
    readonly weights: KeyWeights;
    readonly scope: BalanceScope;
    readonly pendingCount: number;
  },
): KeyMove[] {
  const moves: KeyMove[] = [];
  const sources = [...candidates];
  const { base, perServer } = maxBalancingMoves;
  const maxMoveCount =
    Math.max(base, Math.ceil(perServer * candidates.length)) - pendingCount;
  const isForAll = scope === BalanceScope.All;
  const overload = isForAll ? overloadFactor : severeOverloadFactor;
  while (moves.length < maxMoveCount && sources.length > 0) {
    const source = findMostLoaded(sources);
    const destination = findLeastLoaded(candidates);
    const limit = source.fairLoad * overload +
      overloadStandardDeviations * Math.sqrt(source.fairLoad);
    const isDestinationIdle = isForAll &&
      destination.load < destination.fairLoad * idleFactor;
    if (source.load <= limit && !isDestinationIdle) break;
    const wantedWeight = Math.min(
      Math.max(source.load - source.fairLoad, source.fairLoad / 4),
      destination.fairLoad - destination.load,
      weightUntilBalanced(source, destination),
    );
    const part = tryCutPart(source, wantedWeight, weights);
    if (part === undefined) {
      const move = tryMoveHeaviestBucket(source, candidates, weights);
      if (move !== undefined) moves.push(move);
      sources.splice(sources.indexOf(source), 1);
      continue;
    }
    const weight = weights.weightOf(part.first, part.last);
    removePart(source, part);
    source.load -= weight;
    destination.load += weight;
    // The part is not added to the parts of its new owner, so that keys move at
    // most once in a plan.
    moves.push({ ...part, target: destination.server });
  }
  return moves;
}

/** The weight that `destination` can receive from `source` until both have the same load relative to their fair loads. */
function weightUntilBalanced(
  source: Candidate,
  destination: Candidate,
): number {
  const gap = source.load / source.fairLoad -
    destination.load / destination.fairLoad;
  return gap * source.fairLoad * destination.fairLoad /
    (source.fairLoad + destination.fairLoad);
}

/**
 * Plans to move a bucket that is heavier than its owner's fair load to the
 * fastest server. A bucket cannot be divided, and the fastest server can answer
 * more of its requests than any other.
 */
function tryMoveHeaviestBucket(
  source: Candidate,
  candidates: readonly Candidate[],
  weights: KeyWeights,
): KeyMove | undefined {
  const fastest = candidates.reduce((a, b) => b.fairLoad > a.fairLoad ? b : a);
  if (fastest.fairLoad < source.fairLoad * fasterServerFactor) return undefined;
  for (const { first, last } of source.parts) {
    const bucket = weights.heaviestBucket(first, last);
    const weight = weights.weightOf(bucket.first, bucket.last);
    if (weight <= source.fairLoad) continue;
    return { ...bucket, target: fastest.server };
  }
}

/** Returns the keys at an end of one of the parts of `source` that have the most weight per key and nearly the wanted weight. */
function tryCutPart(
  source: Candidate,
  wantedWeight: number,
  weights: KeyWeights,
): KeyInterval | undefined {
  let best: KeyInterval | undefined;
  let bestDensity = 0;
  for (const { first, last } of source.parts) {
    const ends: KeyInterval[] = [
      { first, last: weights.lastKeyWithinWeight(first, last, wantedWeight) },
      { first: weights.firstKeyWithinWeight(first, last, wantedWeight), last },
    ];
    for (const part of ends) {
      const weight = weights.weightOf(part.first, part.last);
      if (weight > wantedWeight * maxWeightFactor) continue;
      if (weight < Math.min(wantedWeight, source.fairLoad) * minWeightFactor) {
        continue;
      }
      const density = weight / (part.last - part.first + 1);
      if (density <= bestDensity) continue;
      best = part;
      bestDensity = density;
    }
  }
  return best;
}

function removePart(source: Candidate, part: KeyInterval): void {
  const index = source.parts.findIndex(({ first, last }) =>
    first <= part.first && part.last <= last
  );
  const [containingPart] = source.parts.splice(index, 1);
  if (containingPart === undefined) return;
  if (containingPart.first < part.first) {
    source.parts.push({ first: containingPart.first, last: part.first - 1 });
  }
  if (part.last < containingPart.last) {
    source.parts.push({ first: part.last + 1, last: containingPart.last });
  }
}

function findLeastLoaded(candidates: readonly Candidate[]): Candidate {
  return candidates.reduce((a, b) =>
    b.load / b.fairLoad < a.load / a.fairLoad ? b : a
  );
}

function findMostLoaded(candidates: readonly Candidate[]): Candidate {
  return candidates.reduce((a, b) =>
    b.load / b.fairLoad > a.load / a.fairLoad ? b : a
  );
}
