/** Selects the owner of a request's key, the only server that may run the request. */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ServerRef } from "../keyspace/fleet_rows.ts";
import { OwnershipState } from "../keyspace/key_space.ts";
import { isFull } from "./choose_server.ts";
import { DeliveryReason, type RoutedCall } from "./dispatch.ts";
import { isServiceEvacuated } from "./is_service_evacuated.ts";
import { isEvacuationMoveExpected, isMoveEndingSoon } from "./key_move.ts";
import type { SelectorOptions } from "./pool_selector.ts";
import { Obstacle } from "./retry_delay.ts";
import {
  type Selection,
  ServerSelector,
  type TriedServers,
} from "./server_selector.ts";

/** Selects the owners of keys. */
export class OwnerSelector extends ServerSelector {
  readonly #services: ServiceLookup;
  readonly #options: SelectorOptions;

  constructor(services: ServiceLookup, options: SelectorOptions) {
    super();
    this.#services = services;
    this.#options = options;
  }

  override select(
    call: RoutedCall,
    { tried, broken }: TriedServers,
  ): Selection {
    const services = this.#services;
    const { contexts, knownServers, refusals } = this.#options;
    const owner = services.get(ServiceName.KeySpace)
      .ownerOf(call.service, call.key!);
    const directory = services.get(ServiceName.Directory);
    const isRegistered = ({ id, bornAtMs }: ServerRef) =>
      directory.tryGet(id)?.bornAtMs === bornAtMs;
    if (isServiceEvacuated(directory, call.service)) {
      return refusals.create(call, DeliveryReason.Evacuated, {
        obstacle: Obstacle.Evacuation,
      });
    }
    const isMoving = owner.state === OwnershipState.Moving;
    if (isMoving && isMoveEndingSoon(owner, isRegistered)) {
      return refusals.create(call, DeliveryReason.KeyMoving);
    }
    if (isMoving || owner.server === undefined) {
      return refusals.create(call, DeliveryReason.KeyUnowned, {
        obstacle: Obstacle.NoOwner,
      });
    }
    const { id, bornAtMs } = owner.server;
    const server = directory.tryGet(id);
    if (server === undefined || server.bornAtMs !== bornAtMs) {
      return refusals.create(call, DeliveryReason.KeyUnowned, {
        obstacle: Obstacle.NoOwner,
        detail: `owner ${id} is no longer registered`,
      });
    }
    const evacuatedMs = services.get(ServiceName.Evacuations)
      .sinceBeginMs(server.zone);
    if (evacuatedMs !== undefined) {
      const detail = `owner ${id} is in the evacuated ${server.zone}`;
      return isEvacuationMoveExpected(evacuatedMs)
        ? refusals.create(call, DeliveryReason.KeyMoving, { detail })
        : refusals.create(call, DeliveryReason.KeyUnowned, {
          obstacle: Obstacle.NoOwner,
          detail,
        });
    }
    if (broken.has(id)) {
      // An overloaded owner resets connections; a lost one has no successor soon.
      return refusals.create(call, DeliveryReason.OwnerUnreachable, {
        obstacle: Obstacle.UnreachableOwner,
        detail: `owner ${id} closed the connection`,
      });
    }
    if (server.isDraining || tried.has(id)) {
      return refusals.create(call, DeliveryReason.KeyMoving, {
        detail: `owner ${id} ${
          server.isDraining ? "is draining" : "was already tried"
        }`,
      });
    }
    const choice = {
      server,
      statistics: knownServers.getStatistics(server),
    };
    if (choice.statistics.isAvoided) {
      return refusals.create(call, DeliveryReason.OwnerUnreachable, {
        obstacle: Obstacle.UnreachableOwner,
        detail: `owner ${id} is avoided after failures`,
      });
    }
    const context = contexts.create(call);
    const { statistics } = choice;
    const pauseMs = statistics.remainingPauseMs(context.nowMs);
    if (pauseMs > 0) {
      return refusals.createUntil(call, DeliveryReason.ServerPaused, {
        remainingMs: pauseMs,
        detail: `owner ${id} wants a pause`,
      });
    }
    const coldServers = services.get(ServiceName.ColdServers);
    const waitMs = coldServers.waitMs(server);
    if (waitMs > 0) {
      return refusals.createUntil(call, DeliveryReason.ServerCold, {
        remainingMs: waitMs,
        detail: `owner ${id} is ${coldServers.warmthOf(server)}`,
      });
    }
    if (!isFull(choice, context) && coldServers.tryTake(server)) {
      return { choice };
    }
    return refusals.create(call, DeliveryReason.Overloaded, {
      detail: `owner ${id} is full: load ${
        statistics.estimateLoad(context.nowMs).toFixed(1)
      }, ${statistics.inFlightCount} from this daemon, service time ${
        statistics.serviceMs.toFixed(0)
      } ms`,
    });
  }
}
