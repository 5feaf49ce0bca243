/**
 * The contract of the metrics service, which keeps counters, and histograms of
 * durations for each customer and request class.
 */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RequestClass } from "../../types/enums.ts";

/** Names of the counters, which docs/OPERATING.md describes. */
export enum CounterName {
  RequestsReceived = "requests.received",
  RequestsAnswered = "requests.answered",
  RequestsRefused = "requests.refused",
  RequestsMalformed = "requests.malformed",
  AnswersTruncated = "answers.broken",
  CallersStalled = "callers.stalled",
  RequestsForwarded = "requests.forwarded",
  AttemptsSent = "attempts.sent",
  AttemptsRetried = "attempts.retried",
  AttemptsUnknown = "attempts.unknown",
  AttemptsRefusedUnrun = "attempts.refused_unrun",
  RepeatsAnswered = "repeats.answered",
  RequestsShed = "requests.shed",
  RequestsQueued = "requests.queued",
  AdmissionRefusals = "admission.refused",
  RequestsExpired = "requests.expired",
  RetryBudgetRefusals = "retries.over_budget",
  IntentsRefused = "intents.refused",
  IntentsUnprotected = "intents.unprotected",
  RecordsMissing = "records.missing",
  LimitRefusals = "limits.refused",
  MovesStarted = "moves.started",
  MovesFinished = "moves.finished",
  PermitsExpired = "permits.lapsed",
  CoordinatorTakeovers = "coordinator.takeovers",
  PlatformErrors = "platform.errors",
  PlatformWrites = "platform.writes",
  PlatformReads = "platform.reads",
  CopiesFetchedFromPeer = "copies.fetched_from_peer",
  StoreErasBegun = "store.eras_begun",
  PeerErrors = "peers.errors",
  PeerUnauthorized = "peers.unauthorized",
  EvacuationsBegun = "evacuations.begun",
  EvacuationsEnded = "evacuations.ended",
  CapacitiesChanged = "capacities.changed",
  HealthChecksSent = "probes.sent",
  ServersCold = "servers.cold",
  ServersUnconfirmed = "servers.unconfirmed",
  ColdSharesUsed = "cold_shares.used",
  ListsAccepted = "lists.accepted",
  ListsRefused = "lists.refused",
  ListsStaleIgnored = "lists.stale_ignored",
  ListsFetchedFromPeer = "lists.fetched_from_peer",
}

/** Names of the durations that are recorded for each request. */
export enum TimingName {
  Wait = "request.wait_ms",
  Service = "request.service_ms",
  Total = "request.total_ms",
}

/** Count and quantiles of one histogram. */
export interface HistogramSummary {
  readonly timing: TimingName;
  readonly customer: string;
  readonly requestClass: RequestClass;
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Counts events and records durations. */
export abstract class Metrics extends Service {
  override readonly name = ServiceName.Metrics;

  /** Adds `by` to a counter, 1 by default; `tag` names the cause, from a bounded set. */
  abstract count(name: CounterName, tag?: string, by?: number): void;

  /** Records a duration in the histogram of its customer and request class. */
  abstract record(
    timing: TimingName,
    durationMs: number,
    labels: { readonly customer: string; readonly requestClass: RequestClass },
  ): void;

  /** Returns the value of every counter, by its name and tag. */
  abstract counters(): ReadonlyMap<string, number>;

  /** Summarizes every histogram. */
  abstract histograms(): readonly HistogramSummary[];
}
