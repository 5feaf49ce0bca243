/**
 * Selects the least loaded server of a service that is not divided by key,
 * first among the subset of the servers that this daemon prefers.
 */
import type { RandomSource } from "../../host/random_source.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { assertNever } from "../../types/errors.ts";
import type { ServerEntry } from "../../types/routing.ts";
import type { ChoiceContexts } from "./choice_contexts.ts";
import { Warmth } from "../warmup/cold_record.ts";
import {
  type ChoiceContext,
  type ServerCandidate,
  tryChooseServer,
} from "./choose_server.ts";
import { chooseSubset } from "./choose_subset.ts";
import { DeliveryReason, type RoutedCall } from "./dispatch.ts";
import { isServiceEvacuated } from "./is_service_evacuated.ts";
import type { KnownServers } from "./known_servers.ts";
import { Obstacle } from "./retry_delay.ts";
import type { SelectionRefusals } from "./selection_refusals.ts";
import {
  type Selection,
  ServerSelector,
  type TriedServers,
} from "./server_selector.ts";

/** What the selectors of one daemon share. */
export interface SelectorOptions {
  readonly daemonId: string;
  readonly zone: string;
  readonly knownServers: KnownServers;
  readonly contexts: ChoiceContexts;
  readonly refusals: SelectionRefusals;
}

/** The cached subset of a service's servers that this daemon uses. */
interface Subset {
  /** The servers from which the subset was selected. */
  readonly all: readonly ServerEntry[];
  readonly daemonCount: number;
  readonly chosen: readonly ServerEntry[];
}

/** The servers to which a request may be sent. */
interface UsableServers {
  readonly warm: readonly ServerCandidate[];
  /** They take only what the shares of the fleet allow. */
  readonly cold: readonly ServerCandidate[];
}

/** Selects among all servers of a service. */
export class PoolSelector extends ServerSelector {
  readonly #services: ServiceLookup;
  readonly #options: SelectorOptions;
  readonly #subsets = new Map<string, Subset>();

  constructor(services: ServiceLookup, options: SelectorOptions) {
    super();
    this.#services = services;
    this.#options = options;
  }

  override select(call: RoutedCall, { tried }: TriedServers): Selection {
    const services = this.#services;
    const { contexts, refusals } = this.#options;
    const directory = services.get(ServiceName.Directory);
    const servers = directory.usableServers(call.service);
    const context = {
      ...contexts.create(call),
      random: services.get(ServiceName.Random),
    };
    const subset = this.#getSubset(call.service, servers);
    const preferred = tryChooseServer(
      this.#listUsable(subset, tried).warm,
      context,
    );
    if (preferred !== undefined) return { choice: preferred };
    const { warm: usable, cold } = this.#listUsable(servers, tried);
    const choice = tryChooseServer(usable, context) ??
      this.#tryTakeColdServer(cold, context);
    if (choice !== undefined) return { choice };
    if (usable.length === 0 && cold.length > 0) {
      const coldServers = services.get(ServiceName.ColdServers);
      const waitsMs = cold.map(({ server }) => coldServers.waitMs(server));
      return refusals.createUntil(call, DeliveryReason.ServerCold, {
        remainingMs: Math.min(...waitsMs),
        detail: `only ${cold.length} cold servers among ${servers.length}`,
      });
    }
    if (isServiceEvacuated(directory, call.service)) {
      return refusals.create(call, DeliveryReason.Evacuated, {
        obstacle: Obstacle.Evacuation,
      });
    }
    const pauseMs = this.#findShortestPauseMs(servers);
    if (usable.length === 0 && pauseMs !== undefined) {
      return refusals.createUntil(call, DeliveryReason.ServerPaused, {
        remainingMs: pauseMs,
        detail: `the usable servers among ${servers.length} want a pause`,
      });
    }
    return usable.length === 0
      ? refusals.create(call, DeliveryReason.NoServer, {
        detail:
          `no usable server among ${servers.length}; ${tried.size} were tried`,
      })
      : refusals.create(call, DeliveryReason.Overloaded, {
        detail: `all ${usable.length} servers are full`,
      });
  }

  /** Chooses a cold server to which this daemon may send, and takes the right to do so. */
  #tryTakeColdServer(
    cold: readonly ServerCandidate[],
    context: ChoiceContext & { readonly random: RandomSource },
  ): ServerCandidate | undefined {
    const coldServers = this.#services.get(ServiceName.ColdServers);
    const choice = tryChooseServer(
      cold.filter(({ server }) => coldServers.waitMs(server) === 0),
      context,
    );
    return choice !== undefined && coldServers.tryTake(choice.server)
      ? choice
      : undefined;
  }

  /** Lists the servers that are not avoided and were not tried; unconfirmed ones count as cold. */
  #listUsable(
    servers: readonly ServerEntry[],
    tried: ReadonlySet<string>,
  ): UsableServers {
    const nowMs = this.#services.get(ServiceName.Clock).nowMs();
    const coldServers = this.#services.get(ServiceName.ColdServers);
    const warm: ServerCandidate[] = [];
    const cold: ServerCandidate[] = [];
    for (const server of servers) {
      const statistics = this.#options.knownServers.getStatistics(server);
      if (statistics.isAvoided || tried.has(server.id)) continue;
      if (statistics.remainingPauseMs(nowMs) > 0) continue;
      const warmth = coldServers.warmthOf(server);
      switch (warmth) {
        case Warmth.Warm:
          warm.push({ server, statistics });
          break;
        case Warmth.Warming: {
          const part = coldServers.partOf(server);
          warm.push({ server, statistics, part });
          break;
        }
        case Warmth.Cold:
        case Warmth.Unconfirmed:
          cold.push({ server, statistics });
          break;
        default:
          assertNever(warmth);
      }
    }
    return { warm, cold };
  }

  /** The time until the first paused server accepts requests; undefined if none is paused. */
  #findShortestPauseMs(servers: readonly ServerEntry[]): number | undefined {
    const nowMs = this.#services.get(ServiceName.Clock).nowMs();
    const pausesMs = servers
      .map((server) => this.#options.knownServers.getStatistics(server))
      .filter(({ isAvoided }) => !isAvoided)
      .map((statistics) => statistics.remainingPauseMs(nowMs))
      .filter((pauseMs) => pauseMs > 0);
    return pausesMs.length === 0 ? undefined : Math.min(...pausesMs);
  }

  #getSubset(
    service: string,
    all: readonly ServerEntry[],
  ): readonly ServerEntry[] {
    const daemonCount = this.#services.get(ServiceName.KeySpace).daemonCount();
    const known = this.#subsets.get(service);
    if (known?.all === all && known.daemonCount === daemonCount) {
      return known.chosen;
    }
    const { daemonId, zone } = this.#options;
    const chosen = chooseSubset(all, { daemonId, daemonCount, zone });
    this.#subsets.set(service, { all, daemonCount, chosen });
    return chosen;
  }
}
