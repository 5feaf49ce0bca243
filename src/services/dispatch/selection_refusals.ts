/** Creates the refusals of requests for which no server can be selected, with the delay after which their callers should return. */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { CallerPatience } from "./caller_patience.ts";
import { DeliveryReason, type RoutedCall } from "./dispatch.ts";
import {
  drawRetryDelayMs,
  type LoadForecast,
  Obstacle,
} from "./retry_delay.ts";
import type { Selection } from "./server_selector.ts";
import type { ServiceLevels } from "./service_levels.ts";

/** What a delay follows. */
interface DelayOptions {
  /** `Load` when omitted. */
  readonly obstacle?: Obstacle;
  /** The servers that may run the request, under load. */
  readonly room?: Pick<LoadForecast, "roomInMs" | "serviceMs">;
}

/** Creates refusals for the requests of one daemon. */
export class SelectionRefusals {
  readonly #services: ServiceLookup;
  readonly #levels: ServiceLevels;
  readonly #patience = new CallerPatience();

  constructor(services: ServiceLookup, levels: ServiceLevels) {
    this.#services = services;
    this.#levels = levels;
  }

  /** Learns from a request that has just arrived. */
  noteArrival(call: RoutedCall): void {
    const nowMs = this.#services.get(ServiceName.Clock).nowMs();
    const timeLeftMs = this.#callerTimeLeftMs(call);
    this.#patience.note(call.route.name, { timeLeftMs, nowMs });
  }

  /** Draws the delay after which the refused caller should return. */
  drawRetryDelayMs(
    call: RoutedCall,
    options: DelayOptions = {},
  ): number {
    const services = this.#services;
    const { obstacle = Obstacle.Load, room } = options;
    const { route, service } = call;
    const nowMs = services.get(ServiceName.Clock).nowMs();
    const callerTimeLeftMs = this.#callerTimeLeftMs(call);
    return drawRetryDelayMs(obstacle, {
      objectiveMs: route.objectiveMs,
      callerTimeLeftMs,
      random: services.get(ServiceName.Random),
      ...(room === undefined ? {} : {
        load: {
          ...room,
          refusedFraction: this.#levels.refusedFraction(service, nowMs),
          elapsedMs: this.#patience.elapsedMs(route.name, callerTimeLeftMs),
        },
      }),
    });
  }

  create(
    call: RoutedCall,
    reason: DeliveryReason,
    options: DelayOptions & { readonly detail?: string } = {},
  ): Selection {
    const { detail, ...delayOptions } = options;
    const retryAfterMs = this.drawRetryDelayMs(call, delayOptions);
    return {
      reason,
      retryAfterMs,
      ...(detail === undefined ? {} : { detail }),
    };
  }

  /** Refuses a request until a known time has passed, but within the time that its caller has left. */
  createUntil(
    call: RoutedCall,
    reason: DeliveryReason,
    { remainingMs, detail }: {
      readonly remainingMs: number;
      readonly detail: string;
    },
  ): Selection {
    const delayMs = remainingMs + this.drawRetryDelayMs(call);
    const callerTimeLeftMs = Math.max(0, this.#callerTimeLeftMs(call));
    return {
      reason,
      retryAfterMs: Math.min(delayMs, callerTimeLeftMs),
      detail,
    };
  }

  #callerTimeLeftMs({ callerDeadlineAtMs }: RoutedCall): number {
    return callerDeadlineAtMs -
      this.#services.get(ServiceName.Clock).nowMs();
  }
}
