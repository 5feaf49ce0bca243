/**
 * Finds the server for a request: the owner of its key, or the least loaded
 * server of its service.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import type { RoutingTable, ServerEntry } from "../../types/routing.ts";
import { OwnershipState } from "../keyspace/key_space.ts";
import {
  type Choice,
  type ChoiceContext,
  isFull,
  tryChooseServer,
} from "./choose_server.ts";
import { chooseSubset } from "./choose_subset.ts";
import { DeliveryReason, type RoutedCall } from "./dispatch.ts";
import { KnownServers } from "./known_servers.ts";

/** Part of a server's connections that the fleet uses; the rest is for orders and for daemons that join. */
const connectionShare = 0.8;
const minConnections = 2;
/** Part of the objective for which a request waits for room at a server. */
const waitShare = 0.08;
/** As `waitShare`, for a key that is about to be served by its next owner. */
const movingWaitShare = 0.7;
/** Bounds of the time after which a caller is told to come back. */
const comeBackMs = { least: 80, most: 250 };
/** As `comeBackMs`, for keys without an owner. */
const unownedComeBackMs = { least: 300, most: 700 };

/** A server for the next send, or why there is none. */
export type Acquired =
  | { readonly choice: Choice }
  | {
    readonly reason: DeliveryReason;
    readonly retryAfterMs: number;
    /** The figures that decided, for the log. */
    readonly detail?: string;
  };

/** What the finder needs of its daemon. */
export interface ServerFinderOptions {
  readonly daemonId: string;
  readonly zone: string;
  /** Ends its tasks. */
  readonly signal: AbortSignal;
}

/** The servers of a service that this daemon uses. */
interface Subset {
  /** What it was chosen from. */
  readonly all: readonly ServerEntry[];
  readonly daemonCount: number;
  readonly chosen: readonly ServerEntry[];
}

/** Finds servers for one daemon. */
export class ServerFinder {
  readonly #services: ServiceLookup;
  readonly #options: ServerFinderOptions;
  readonly #known: KnownServers;
  readonly #roomChanged = new ChangeSignal();
  readonly #priorities = new Map<string, number>();
  #prioritiesOf: RoutingTable | undefined;
  readonly #subsets = new Map<string, Subset>();

  constructor(services: ServiceLookup, options: ServerFinderOptions) {
    this.#services = services;
    this.#options = options;
    this.#known = new KnownServers(services, {
      signal: options.signal,
      onUsable: () => this.noteRoom(),
    });
  }

  /** Probes a server that is avoided, until it answers or is gone. */
  probe(choice: Choice): Promise<void> {
    return this.#known.probe(choice);
  }

  /** A request has left a server, or servers have become usable. */
  noteRoom(): void {
    this.#roomChanged.notify();
  }

  /** When a caller that is refused should come back. */
  drawComeBackMs(): number {
    return this.#draw(comeBackMs);
  }

  /** Waits a short time for a server that may take the request. */
  async acquire(
    call: RoutedCall,
    options: {
      readonly tried: ReadonlySet<string>;
      readonly arrivedAtMs: number;
    },
  ): Promise<Acquired> {
    const services = this.#services;
    const clock = services.get(ServiceName.Clock);
    for (;;) {
      const found = call.key === undefined
        ? this.#chooseAny(call, options.tried)
        : this.#chooseOwner(call, options.tried);
      if ("choice" in found || call.callerLeft.aborted) return found;
      const isMoving = found.reason === DeliveryReason.KeyMoving;
      const mayWait = isMoving || found.reason === DeliveryReason.Overloaded;
      const share = isMoving ? movingWaitShare : waitShare;
      const untilMs = Math.min(
        call.deadlineAtMs,
        options.arrivedAtMs + call.route.objectiveMs * share,
      );
      const durationMs = untilMs - clock.nowMs();
      if (!mayWait || durationMs <= 0) return found;
      const changed = isMoving
        ? services.get(ServiceName.KeySpace).changed
        : this.#roomChanged;
      await changed.waitAtMost(clock, {
        durationMs,
        seenCount: changed.notifyCount,
        signal: call.callerLeft,
      });
    }
  }

  #chooseAny(call: RoutedCall, tried: ReadonlySet<string>): Acquired {
    const services = this.#services;
    const servers = services.get(ServiceName.Directory)
      .usableServers(call.service);
    const context = {
      ...this.#contextOf(call),
      random: services.get(ServiceName.Random),
    };
    const subset = this.#subsetOf(call.service, servers);
    const preferred = tryChooseServer(this.#listUsable(subset, tried), context);
    if (preferred !== undefined) return { choice: preferred };
    const usable = this.#listUsable(servers, tried);
    const choice = tryChooseServer(usable, context);
    if (choice !== undefined) return { choice };
    return usable.length === 0
      ? this.#refuse(DeliveryReason.NoServer, {
        detail: `${servers.length} servers, ${tried.size} tried`,
      })
      : this.#refuse(DeliveryReason.Overloaded, {
        detail: `all ${usable.length} servers full`,
      });
  }

  /** Leaves out servers that are avoided or were tried. */
  #listUsable(
    servers: readonly ServerEntry[],
    tried: ReadonlySet<string>,
  ): Choice[] {
    const usable: Choice[] = [];
    for (const server of servers) {
      const figures = this.#known.figuresOf(server);
      if (figures.isAvoided || tried.has(server.id)) continue;
      usable.push({ server, figures });
    }
    return usable;
  }

  #subsetOf(
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

  #chooseOwner(call: RoutedCall, tried: ReadonlySet<string>): Acquired {
    const services = this.#services;
    const owner = services.get(ServiceName.KeySpace)
      .ownerOf(call.service, call.key!);
    if (owner.state === OwnershipState.Moving) {
      return this.#refuse(DeliveryReason.KeyMoving);
    }
    if (owner.server === undefined) {
      return this.#refuse(DeliveryReason.KeyUnowned, {
        bounds: unownedComeBackMs,
      });
    }
    const { id, bornAtMs } = owner.server;
    const server = services.get(ServiceName.Directory).tryGet(id);
    if (server === undefined || server.bornAtMs !== bornAtMs) {
      return this.#refuse(DeliveryReason.KeyUnowned, {
        bounds: unownedComeBackMs,
        detail: `owner ${id} is gone`,
      });
    }
    if (server.isDraining || tried.has(id)) {
      return this.#refuse(DeliveryReason.KeyMoving, {
        detail: `owner ${id} ${server.isDraining ? "drains" : "was tried"}`,
      });
    }
    const choice = { server, figures: this.#known.figuresOf(server) };
    if (choice.figures.isAvoided) {
      return this.#refuse(DeliveryReason.OwnerUnreachable, {
        bounds: unownedComeBackMs,
        detail: `owner ${id} is avoided`,
      });
    }
    const context = this.#contextOf(call);
    if (!isFull(choice, context)) return { choice };
    const { figures } = choice;
    return this.#refuse(DeliveryReason.Overloaded, {
      detail: `owner ${id} full: load ${
        figures.loadAt(context.nowMs).toFixed(1)
      }, own ${figures.inFlightCount}, work ${figures.serviceMs.toFixed(0)} ms`,
    });
  }

  #refuse(
    reason: DeliveryReason,
    options: {
      readonly bounds?: typeof comeBackMs;
      readonly detail?: string;
    } = {},
  ): Acquired {
    const { bounds = comeBackMs, detail } = options;
    const retryAfterMs = this.#draw(bounds);
    return {
      reason,
      retryAfterMs,
      ...(detail === undefined ? {} : { detail }),
    };
  }

  #draw({ least, most }: typeof comeBackMs): number {
    const random = this.#services.get(ServiceName.Random);
    return least + (most - least) * random.nextFraction();
  }

  #contextOf(call: RoutedCall): ChoiceContext {
    const services = this.#services;
    const table = services.get(ServiceName.Routing).currentTable();
    const daemonCount = services.get(ServiceName.KeySpace).daemonCount();
    const maxConnections = table?.services.get(call.service)?.maxConnections ??
      minConnections;
    return {
      route: call.route,
      zone: this.#options.zone,
      nowMs: services.get(ServiceName.Clock).nowMs(),
      maxInFlight: Math.max(
        minConnections,
        Math.floor(maxConnections * connectionShare / daemonCount),
      ),
      daemonCount,
      isYielding: this.#highestPriorityOf(call.service) < call.route.priority,
    };
  }

  /** The most urgent priority among the routes of a service. */
  #highestPriorityOf(service: string): number {
    const table = this.#services.get(ServiceName.Routing).currentTable();
    if (table !== this.#prioritiesOf) {
      this.#prioritiesOf = table;
      this.#priorities.clear();
      for (const { targets, priority } of table?.routes ?? []) {
        for (const target of targets) {
          const known = this.#priorities.get(target.service) ?? Infinity;
          this.#priorities.set(target.service, Math.min(known, priority));
        }
      }
    }
    return this.#priorities.get(service) ?? Infinity;
  }
}
