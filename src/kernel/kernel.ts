/**
 * The micro-kernel: registers services by name, starts each after its declared
 * dependencies, resolves names, and stops the services in reverse order. It
 * has no routing logic and no global state, so that a process can hold several
 * kernels.
 */
import { RouterError } from "../types/errors.ts";
import { MessageCode } from "../diagnostics/messages.ts";
import type { Service } from "./service.ts";
import type { ServiceMap } from "./service_map.ts";
import type { ServiceName } from "./service_name.ts";

/** Resolves a service name to the running service. */
export interface ServiceLookup {
  /** Returns the service; throws `RouterError` when it is not registered. */
  get<N extends ServiceName>(name: N): ServiceMap[N];
  /** Returns the service, or undefined when it is not registered. */
  tryGet<N extends ServiceName>(name: N): ServiceMap[N] | undefined;
}

/** Registers, starts and stops the services of one daemon. */
export class Kernel implements ServiceLookup {
  readonly #services = new Map<ServiceName, Service>();
  readonly #started: Service[] = [];

  /** Adds a service; throws `RouterError` when the name is taken. */
  register(service: Service): this {
    if (this.#services.has(service.name)) {
      throw new RouterError(MessageCode.ServiceDuplicate, "register", {
        detail: service.name,
      });
    }
    this.#services.set(service.name, service);
    return this;
  }

  tryGet<N extends ServiceName>(name: N): ServiceMap[N] | undefined {
    return this.#services.get(name) as ServiceMap[N] | undefined;
  }

  get<N extends ServiceName>(name: N): ServiceMap[N] {
    const service = this.tryGet(name);
    if (service === undefined) {
      throw new RouterError(MessageCode.ServiceMissing, "lookup", {
        detail: name,
      });
    }
    return service;
  }

  /**
   * Starts every service after its dependencies. When a service fails to
   * start, stops the services already running and rethrows the failure.
   */
  async start(): Promise<void> {
    for (const service of orderByDependencies(this.#services)) {
      try {
        await service.start(this);
      } catch (error) {
        await this.stop();
        throw error;
      }
      this.#started.push(service);
    }
  }

  /** Drains, then stops, every running service in reverse start order. */
  async stop(): Promise<void> {
    const running = this.#started.splice(0).reverse();
    for (const service of running) await service.drain();
    for (const service of running) await service.stop();
  }
}

/** Sorts services topologically by their dependencies; throws on a cycle. */
function orderByDependencies(services: Map<ServiceName, Service>): Service[] {
  const ordered: Service[] = [];
  const visiting = new Set<ServiceName>();
  const done = new Set<ServiceName>();

  function visit(name: ServiceName): void {
    if (done.has(name)) return;
    const service = services.get(name);
    if (service === undefined) {
      throw new RouterError(MessageCode.ServiceMissing, "start", {
        detail: name,
      });
    }
    if (visiting.has(name)) {
      throw new RouterError(MessageCode.ServiceCycle, "start", {
        detail: name,
      });
    }
    visiting.add(name);
    for (const dependency of service.dependencies) visit(dependency);
    visiting.delete(name);
    done.add(name);
    ordered.push(service);
  }

  for (const name of services.keys()) visit(name);
  return ordered;
}
