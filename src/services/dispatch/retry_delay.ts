/**
 * Decides when a caller whose request was refused unrun should return. Callers
 * wait for at most a third of the time that they have left, and return only a
 * few times. Under a load that exceeds the servers' slots by little, a caller
 * that returns within the objective of its route still gets its answer in time;
 * under a heavy one, a caller that returns soon is refused for good.
 * A key that lost its owner has none until the former hold has ended, so that a
 * caller that returns soon only spends its retries. An evacuation lasts longer
 * than callers wait, so that they return as late as they can.
 */
import type { RandomSource } from "../../host/random_source.ts";
import { assertNever } from "../../types/errors.ts";

/** What has to change before the request can be served. */
export enum Obstacle {
  /** All slots and queues that the request may use are taken. */
  Load = "load",
  /** The key has no owner until a former hold has ended. */
  NoOwner = "no-owner",
  /** The owner is avoided until a health check succeeds. */
  UnreachableOwner = "unreachable-owner",
  /** An operator has to end an evacuation, and has not said when. */
  Evacuation = "evacuation",
}

/** Range of the delay under load, as fractions of the route's objective. */
const loadFractions = { min: 0.15, max: 0.4 };
/** Part of the time up to the last timely return in which callers return while nearly all requests are refused. */
const latestFractions = { min: 0.5, max: 1 };
/** Fraction of the longest wait that remains for spreading callers when room is expected late. */
const spreadFraction = 0.3;
/** Service times that a caller needs after its return to be answered in time. */
const timelyServiceFactor = 1.15;
/** Fraction of the time left for which callers wait at most. */
const maxWaitFraction = 1 / 3;
/** Ranges of the delay, as fractions of the longest time that the caller waits. */
const noOwnerFractions = { min: 0.4, max: 1 };
const unreachableOwnerFractions = { min: 0.2, max: 0.6 };
const evacuationFractions = { min: 0.6, max: 1 };

/** What is known of the load that refused a request. */
export interface LoadForecast {
  /** Fraction of the service's recent requests that were refused. */
  readonly refusedFraction: number;
  /** Time until there is expected to be room. */
  readonly roomInMs: number;
  /** Time since the caller first asked. */
  readonly elapsedMs: number;
  /** Expected service time. */
  readonly serviceMs: number;
}

const noForecast: LoadForecast = {
  refusedFraction: 0,
  roomInMs: 0,
  elapsedMs: 0,
  serviceMs: 0,
};

/** Draws the delay after which the caller should return; random, so that callers do not return together. */
export function drawRetryDelayMs(
  obstacle: Obstacle,
  options: {
    /** The route's latency objective. */
    readonly objectiveMs: number;
    /** Time for which the caller will wait for an answer, retries included. */
    readonly callerTimeLeftMs: number;
    readonly random: RandomSource;
    /** What is known of the load; without it the delay has its shortest range. */
    readonly load?: LoadForecast;
  },
): number {
  const { callerTimeLeftMs, random } = options;
  const maxWaitMs = longestWaitMs(callerTimeLeftMs);
  switch (obstacle) {
    case Obstacle.Load:
      return drawLoadDelayMs(maxWaitMs, options);
    case Obstacle.NoOwner:
      return draw(noOwnerFractions, maxWaitMs, random);
    case Obstacle.UnreachableOwner:
      return draw(unreachableOwnerFractions, maxWaitMs, random);
    case Obstacle.Evacuation:
      return draw(evacuationFractions, maxWaitMs, random);
    default:
      return assertNever(obstacle);
  }
}

/** The longest time for which a caller waits before it returns. */
export function longestWaitMs(callerTimeLeftMs: number): number {
  return Math.max(0, callerTimeLeftMs) * maxWaitFraction;
}

/**
 * Callers return soon while few are refused. The more are refused, the longer
 * the overload lasts, and the later they return, but while an answer can still
 * come within the objective.
 */
function drawLoadDelayMs(
  maxWaitMs: number,
  { objectiveMs, random, load = noForecast }: {
    readonly objectiveMs: number;
    readonly random: RandomSource;
    readonly load?: LoadForecast;
  },
): number {
  const { refusedFraction, roomInMs, elapsedMs, serviceMs } = load;
  const lastTimelyMs = objectiveMs - elapsedMs -
    serviceMs * timelyServiceFactor;
  const canBeTimely = lastTimelyMs > loadFractions.max * objectiveMs;
  const weight = canBeTimely ? refusedFraction : 0;
  const mix = (end: keyof typeof loadFractions) =>
    (1 - weight) * loadFractions[end] * objectiveMs +
    weight * latestFractions[end] * lastTimelyMs;
  const [minMs, maxMs] = [mix("min"), mix("max")];
  const startMs = Math.min(
    Math.max(minMs, Math.min(roomInMs, lastTimelyMs / 2)),
    maxWaitMs * (1 - spreadFraction),
  );
  const endMs = Math.min(maxWaitMs, startMs + maxMs - minMs);
  return draw({ min: startMs, max: endMs }, 1, random);
}

function draw(
  { min, max }: { readonly min: number; readonly max: number },
  scaleMs: number,
  random: RandomSource,
): number {
  return scaleMs * (min + (max - min) * random.nextFraction());
}
