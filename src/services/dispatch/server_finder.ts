/**
 * Finds the server for a request: the owner of its key, or the least loaded
 * server of its service. If none has room, the request is queued or refused.
 * Selecting, admitting and refusing are decided apart: by the selectors, by
 * `decideAdmission`, and by `SelectionRefusals`.
 */
import type { SendResult } from "../../host/server_link.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ServerEntry } from "../../types/routing.ts";
import { CounterName } from "../metrics/metrics.ts";
import { type AdmissionRefusal, decideAdmission } from "./admission_policy.ts";
import { AdmissionQueue, type Urgency } from "./admission_queue.ts";
import { ChoiceContexts } from "./choice_contexts.ts";
import type { ServerCandidate } from "./choose_server.ts";
import {
  DeliveryEnding,
  DeliveryReason,
  type DispatchOutcome,
  type RoutedCall,
} from "./dispatch.ts";
import { KnownServers } from "./known_servers.ts";
import { OwnerSelector } from "./owner_selector.ts";
import { PoolSelector } from "./pool_selector.ts";
import { longestWaitMs } from "./retry_delay.ts";
import { SelectionRefusals } from "./selection_refusals.ts";
import { ServerRoom } from "./server_room.ts";
import type {
  Selection,
  ServerSelector,
  TriedServers,
} from "./server_selector.ts";
import { ServiceLevels } from "./service_levels.ts";

/** Fraction of the route's objective for which a request waits for a key that is moving to its next owner. */
const movingKeyWaitFraction = 0.7;

/** The priority of a starved route, before that of any other. */
const starvedPriority = -1;

export interface ServerFinderOptions {
  readonly daemonId: string;
  readonly zone: string;
  /** Stops the background tasks. */
  readonly signal: AbortSignal;
}

/** The server for the next attempt, or why there is none, and the time in the queue before. */
export type Acquisition = Selection & { readonly queuedMs: number };

/** Options of `ServerFinder.acquire`. */
interface AcquireOptions extends TriedServers {
  readonly arrivedAtMs: number;
}

/** Where and until when a request waits for room. */
interface QueuePlace {
  readonly name: string;
  readonly urgency: Urgency;
  readonly untilMs: number;
}

/** Finds servers for the requests of one daemon. */
export class ServerFinder {
  readonly #services: ServiceLookup;
  readonly #knownServers: KnownServers;
  readonly #levels = new ServiceLevels();
  readonly #refusals: SelectionRefusals;
  readonly #contexts: ChoiceContexts;
  readonly #poolSelector: ServerSelector;
  readonly #ownerSelector: ServerSelector;
  /** The queues that are not empty, by the servers for whose room their requests wait. */
  readonly #queues = new Map<string, AdmissionQueue>();

  constructor(services: ServiceLookup, options: ServerFinderOptions) {
    const { daemonId, zone, signal } = options;
    const levels = this.#levels;
    this.#services = services;
    this.#refusals = new SelectionRefusals(services, levels);
    this.#knownServers = new KnownServers(services, {
      signal,
      onUsable: () => this.#notifyAllRoom(),
    });
    this.#contexts = new ChoiceContexts(services, { zone, levels });
    const selectorOptions = {
      daemonId,
      zone,
      knownServers: this.#knownServers,
      contexts: this.#contexts,
      refusals: this.#refusals,
    };
    this.#poolSelector = new PoolSelector(services, selectorOptions);
    this.#ownerSelector = new OwnerSelector(services, selectorOptions);
  }

  /** Checks the health of an avoided or unconfirmed server until it is healthy, is removed or restarts. */
  checkHealthUntilUsable(choice: ServerCandidate): Promise<void> {
    return this.#knownServers.checkHealthUntilUsable(choice);
  }

  /** Records what a server said of itself in an answer. */
  noteServerState(
    candidate: ServerCandidate,
    state: Pick<SendResult, "isLeaving" | "pauseMs">,
  ): void {
    this.#knownServers.noteServerState(candidate, state);
  }

  /** Records whether a request was served, or refused for lack of room. */
  noteOutcome(
    { service, route }: RoutedCall,
    { ending, reason }: Pick<DispatchOutcome, "ending" | "reason">,
  ): void {
    const wasServed = ending === DeliveryEnding.Answered;
    const wasFull = reason === DeliveryReason.Overloaded ||
      reason === DeliveryReason.AttemptsSpent;
    if (!wasServed && !wasFull) return;
    const nowMs = this.#services.get(ServiceName.Clock).nowMs();
    this.#levels.note({ service, route: route.name }, { wasServed, nowMs });
  }

  /** Wakes the most urgent request that waits for room at a server: a request there has ended. */
  notifyRoom({ service, id }: ServerEntry): void {
    this.#queues.get(service)?.wakeFirst();
    this.#queues.get(queueNameOfOwner(service, id))?.wakeFirst();
  }

  /** Learns from a request that has just arrived. */
  noteArrival(call: RoutedCall): void {
    this.#refusals.noteArrival(call);
  }

  /** Draws the delay after which the refused caller should return. */
  drawRetryDelayMs(call: RoutedCall): number {
    const { serviceMs } = this.#forecastRoom(call);
    const room = { roomInMs: 0, serviceMs };
    return this.#refusals.drawRetryDelayMs(call, { room });
  }

  /** Finds a server for the request; queues the request while none has room. */
  async acquire(
    call: RoutedCall,
    options: AcquireOptions,
  ): Promise<Acquisition> {
    const clock = this.#services.get(ServiceName.Clock);
    const startedAtMs = clock.nowMs();
    let queueName: string | undefined;
    try {
      for (;;) {
        const found = this.#trySelect(call, {
          ...options,
          hasWaited: queueName !== undefined,
        });
        const queuedMs = queueName === undefined
          ? 0
          : clock.nowMs() - startedAtMs;
        if ("choice" in found || call.disconnectSignal.aborted) {
          return { ...found, queuedMs };
        }
        if (found.reason === DeliveryReason.KeyMoving) {
          if (await this.#waitForKey(call, options.arrivedAtMs)) continue;
          return { ...found, queuedMs };
        }
        if (found.reason !== DeliveryReason.Overloaded) {
          return { ...found, queuedMs };
        }
        const place = this.#admit(call, options, found.detail);
        if ("refusal" in place) return { ...place.refusal, queuedMs };
        if (queueName === undefined) {
          this.#services.get(ServiceName.Metrics)
            .count(CounterName.RequestsQueued, call.service);
        }
        queueName = place.name;
        await this.#wait(call, place);
      }
    } finally {
      // There may be room for more than one request, and each waits for the one before it.
      if (queueName !== undefined) this.#queues.get(queueName)?.wakeFirst();
    }
  }

  /** Selects a server, unless more urgent requests wait for the same room. */
  #trySelect(
    call: RoutedCall,
    options: AcquireOptions & { readonly hasWaited: boolean },
  ): Selection {
    // The requests ahead may use servers that have refused this one.
    const mustQueue = !options.hasWaited && options.tried.size === 0;
    if (mustQueue && this.#queues.size > 0) {
      const aheadCount = this.#queues.get(this.#queueNameOf(call))
        ?.countAhead(this.#urgencyOf(call)) ?? 0;
      if (aheadCount > 0) {
        return { reason: DeliveryReason.Overloaded, retryAfterMs: 0 };
      }
    }
    const selector = call.key === undefined
      ? this.#poolSelector
      : this.#ownerSelector;
    return selector.select(call, options);
  }

  /** Decides whether a request for which no server has room is queued or refused. */
  #admit(
    call: RoutedCall,
    { tried, arrivedAtMs }: AcquireOptions,
    detail?: string,
  ): QueuePlace | { readonly refusal: Selection } {
    const room = this.#forecastRoom(call, tried);
    const urgency = this.#urgencyOf(call);
    const name = this.#queueNameOf(call);
    const aheadCount = this.#queues.get(name)?.countAhead(urgency) ?? 0;
    const decision = decideAdmission({
      nowMs: this.#services.get(ServiceName.Clock).nowMs(),
      arrivedAtMs,
      deadlineAtMs: call.deadlineAtMs,
      objectiveMs: call.route.objectiveMs,
      aheadCount,
      forecast: room,
    });
    if ("refusal" in decision) {
      const refusal = this.#refuse(call, {
        room,
        aheadCount,
        cause: decision.refusal,
        ...(detail === undefined ? {} : { detail }),
      });
      return { refusal };
    }
    const { queuedUntilMs } = decision;
    // Estimated loads decay without an event that would wake the first request.
    const untilMs = aheadCount > 0
      ? queuedUntilMs
      : room.findRoomAtMs(queuedUntilMs);
    return { name, urgency, untilMs };
  }

  async #wait(
    call: RoutedCall,
    { name, urgency, untilMs }: QueuePlace,
  ): Promise<void> {
    let queue = this.#queues.get(name);
    if (queue === undefined) {
      queue = new AdmissionQueue();
      this.#queues.set(name, queue);
    }
    const clock = this.#services.get(ServiceName.Clock);
    await queue.wait(clock, urgency, {
      untilMs,
      signal: call.disconnectSignal,
    });
    if (queue.size === 0 && this.#queues.get(name) === queue) {
      this.#queues.delete(name);
    }
  }

  /** Waits for the owners of keys to change; false if the request has waited as long as it may. */
  async #waitForKey(call: RoutedCall, arrivedAtMs: number): Promise<boolean> {
    const clock = this.#services.get(ServiceName.Clock);
    const { changed } = this.#services.get(ServiceName.KeySpace);
    const endsAtMs = Math.min(
      call.deadlineAtMs,
      arrivedAtMs + call.route.objectiveMs * movingKeyWaitFraction,
    );
    const durationMs = endsAtMs - clock.nowMs();
    if (durationMs <= 0) return false;
    await changed.waitAtMost(clock, {
      durationMs,
      seenCount: changed.notifyCount,
      signal: call.disconnectSignal,
    });
    return true;
  }

  #refuse(
    call: RoutedCall,
    { room, aheadCount, cause, detail = "" }: {
      readonly room: ServerRoom;
      readonly aheadCount: number;
      readonly cause: AdmissionRefusal;
      readonly detail?: string;
    },
  ): Selection {
    const nowMs = this.#services.get(ServiceName.Clock).nowMs();
    const longestMs = longestWaitMs(call.callerDeadlineAtMs - nowMs);
    const roomInMs = room.findRoomAtMs(nowMs + longestMs) - nowMs;
    const refusedFraction = this.#levels.refusedFraction(call.service, nowMs);
    this.#services.get(ServiceName.Metrics)
      .count(CounterName.AdmissionRefusals, cause);
    return this.#refusals.create(call, DeliveryReason.Overloaded, {
      room: { roomInMs, serviceMs: room.serviceMs },
      detail: `${detail}${detail && "; "}${cause}: ${aheadCount} ahead, ` +
        `room in ${roomInMs.toFixed(0)} ms by a load of ${
          room.reportAgeMs.toFixed(0)
        } ms ago, ${(100 * refusedFraction).toFixed(0)}% refused lately`,
    });
  }

  /** The expected room at the servers that may run the request. */
  #forecastRoom(
    call: RoutedCall,
    tried: ReadonlySet<string> = new Set(),
  ): ServerRoom {
    const services = this.#services;
    const directory = services.get(ServiceName.Directory);
    const coldServers = services.get(ServiceName.ColdServers);
    const context = this.#contexts.create(call);
    const owner = this.#tryGetOwner(call);
    const ownerEntry = owner && directory.tryGet(owner.id);
    const servers = call.key === undefined
      ? directory.usableServers(call.service)
      : ownerEntry === undefined
      ? []
      : [ownerEntry];
    const candidates = servers
      .map((server) => ({
        server,
        statistics: this.#knownServers.getStatistics(server),
      }))
      .filter(({ server, statistics }) =>
        !statistics.isAvoided && !tried.has(server.id) &&
        statistics.remainingPauseMs(context.nowMs) === 0 &&
        coldServers.waitMs(server) === 0
      );
    return new ServerRoom(candidates, context);
  }

  #tryGetOwner({ service, key }: RoutedCall) {
    return key === undefined
      ? undefined
      : this.#services.get(ServiceName.KeySpace).ownerOf(service, key).server;
  }

  /** Requests for one key wait for its owner, all others for any server of their service. */
  #queueNameOf(call: RoutedCall): string {
    const owner = this.#tryGetOwner(call);
    return owner === undefined
      ? call.service
      : queueNameOfOwner(call.service, owner.id);
  }

  #urgencyOf(
    { service, route, callerDeadlineAtMs }: RoutedCall,
  ): Urgency {
    const nowMs = this.#services.get(ServiceName.Clock).nowMs();
    const isStarved = this.#levels
      .isStarved({ service, route: route.name }, nowMs);
    const priority = isStarved ? starvedPriority : route.priority;
    return { priority, callerDeadlineAtMs };
  }

  #notifyAllRoom(): void {
    for (const queue of [...this.#queues.values()]) queue.wakeFirst();
  }
}

function queueNameOfOwner(service: string, serverId: string): string {
  return `${service} ${serverId}`;
}
