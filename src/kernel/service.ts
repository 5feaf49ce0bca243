/**
 * The base class of everything that the kernel runs. A service declares the
 * names of the services it depends on; the kernel starts those before the
 * service and stops them after it.
 */
import type { ServiceLookup } from "./kernel.ts";
import type { ServiceName } from "./service_name.ts";

/** A unit of the daemon with a name, declared dependencies, and a life cycle. */
export abstract class Service {
  /** The name under which other services look this service up. */
  abstract readonly name: ServiceName;

  /** The services that must be running before this service starts. */
  get dependencies(): readonly ServiceName[] {
    return [];
  }

  /** Acquires resources and starts tasks; rejects when it cannot run. */
  start(_services: ServiceLookup): Promise<void> {
    return Promise.resolve();
  }

  /**
   * Finishes work in progress while all services still run. Called on every
   * service, in reverse start order, before the first `stop`.
   */
  drain(): Promise<void> {
    return Promise.resolve();
  }

  /** Releases resources and waits for every task it started. */
  stop(): Promise<void> {
    return Promise.resolve();
  }
}
