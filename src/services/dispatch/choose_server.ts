/**
 * Load balancing among the servers of a service that is not sharded: selects
 * the server where the request is expected to end first, by the learned
 * capacities of the servers, and prefers servers of the daemon's own zone.
 * Answers the load of servers that differ in speed, and of servers that slow
 * down before their slots are taken.
 */
import type { RandomSource } from "../../host/random_source.ts";
import {
  RequestKind,
  type Route,
  type ServerEntry,
} from "../../types/routing.ts";
import type { Capacities } from "../capacity/capacities.ts";
import { queueRounds } from "../capacity/load_band.ts";
import type { ServerStatistics } from "./server_statistics.ts";

/** Time that a request to another zone takes longer, which the caller waits. */
const otherZoneTimeMs = 2;
/** Price of the traffic to another zone, which the operator pays, as a fraction of the route's work. */
const otherZonePriceFraction = 0.2;
/** As `otherZonePriceFraction`, for downloads and uploads, whose bodies are large. */
const largeBodyOtherZonePriceFraction = 0.6;
/** Random increase of the estimates, so that daemons do not all select the same server. */
const jitterFraction = 0.3;
/** Relative increase of the score for a server that fails all requests. */
const failurePenalty = 5;
/** Bounds on the requests at a server (running and queued), for each of its slots; a server queues only a few. */
const minRequestsPerSlot = 1.5;
const maxRequestsPerSlot = 3;
/** Fraction of the route's objective that a request may spend at a server, waiting included. */
const objectiveFraction = 0.9;
/** Least fraction of the objective by which expected times are compared, for a request that is late. */
const minObjectiveLeftFraction = 0.1;
/** Fraction of the bound on a server's requests for routes that share the service with a more urgent route. */
export const lowPriorityFraction = 0.6;

/**
 * Bound on the requests of one daemon at a server, as a multiple of the
 * daemon's even part of the longest queue. It is above 1 because callers are
 * not distributed evenly over the daemons.
 */
const unevenLoadFactor = 4;
const minRequestsPerDaemon = 2;

/** Input of the load balancing, apart from the servers. */
export interface ChoiceContext {
  readonly route: Route;
  readonly zone: string;
  readonly nowMs: number;
  /** What is left of the route's objective. */
  readonly objectiveLeftMs: number;
  readonly capacities: Pick<Capacities, "estimateOf" | "serviceMs">;
  /** Maximum of connections from this daemon to one server. */
  readonly maxInFlight: number;
  /** Number of daemons that send requests to the servers. */
  readonly daemonCount: number;
  /** Whether a more urgent route uses the service. */
  readonly hasMoreUrgentRoute: boolean;
}

/** A server with its statistics. */
export interface ServerCandidate {
  readonly server: ServerEntry;
  readonly statistics: ServerStatistics;
  /** The fraction of its part that the server gets; all of it when omitted. */
  readonly part?: number;
}

/** Whether one more request would wait too long at the server, or exceed this daemon's part of it. */
export function isFull(
  candidate: ServerCandidate,
  context: ChoiceContext,
): boolean {
  const { server, statistics } = candidate;
  const maxRequestsOfDaemon = Math.max(
    minRequestsPerDaemon,
    Math.ceil(
      unevenLoadFactor * server.slotCount * maxRequestsPerSlot /
        context.daemonCount,
    ),
  );
  const maxInFlight = Math.min(context.maxInFlight, maxRequestsOfDaemon);
  if (statistics.inFlightCount >= maxInFlight) return true;
  const { route, capacities } = context;
  const maxRounds = objectiveFraction * route.objectiveMs /
    capacities.serviceMs(server, route.name);
  const maxLoad = Math.min(
    maxRequestsPerSlot * server.slotCount,
    Math.max(
      minRequestsPerSlot * server.slotCount,
      maxRounds * capacities.estimateOf(server).concurrency,
    ),
  );
  const priorityFraction = context.hasMoreUrgentRoute ? lowPriorityFraction : 1;
  return statistics.estimateLoad(context.nowMs) >= maxLoad * priorityFraction;
}

/** Selects the server with the lowest score; undefined if all are full. */
export function tryChooseServer(
  candidates: readonly ServerCandidate[],
  context: ChoiceContext & { readonly random: RandomSource },
): ServerCandidate | undefined {
  let best: ServerCandidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    if (isFull(candidate, context)) continue;
    const score = computeScore(candidate, context) / (candidate.part ?? 1) *
      (1 + jitterFraction * context.random.nextFraction());
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

/** Computes the expected time to an answer as part of the objective, plus the price of another zone, weighted by failures. */
function computeScore(
  { server, statistics }: ServerCandidate,
  context: ChoiceContext,
): number {
  const { route, capacities } = context;
  const load = statistics.estimateLoad(context.nowMs);
  const { concurrency, slownessFactor } = capacities.estimateOf(server);
  const serviceMs = capacities.serviceMs(server, route.name);
  const rounds = queueRounds(load, concurrency) +
    // A busier server scores worse even while it has free slots, since the load
    // is only an estimate.
    load / concurrency / 2;
  const isOtherZone = server.zone !== context.zone;
  const timeMs = serviceMs * rounds + (isOtherZone ? otherZoneTimeMs : 0);
  const objectiveLeftMs = Math.max(
    context.objectiveLeftMs,
    route.objectiveMs * minObjectiveLeftFraction,
  );
  const hasLargeBodies = route.kind === RequestKind.Download ||
    route.kind === RequestKind.Upload;
  const priceFraction = !isOtherZone
    ? 0
    : hasLargeBodies
    ? largeBodyOtherZonePriceFraction
    : otherZonePriceFraction;
  const workMs = serviceMs / slownessFactor;
  const price = priceFraction * workMs / route.objectiveMs;
  return (timeMs / objectiveLeftMs + price) *
    (1 + failurePenalty * statistics.failureFraction);
}
