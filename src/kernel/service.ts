/**
 * The base class of everything the kernel runs. A service declares the names
 * it needs; the kernel starts those first and stops them last.
 */
import type { ServiceLookup } from "./kernel.ts";
import type { ServiceName } from "./service_name.ts";

/** A unit of the daemon with a name, declared needs, and a life cycle. */
export abstract class Service {
  /** The name under which other services find this one. */
  abstract readonly name: ServiceName;

  /** The services that must be running before this one starts. */
  get needs(): readonly ServiceName[] {
    return [];
  }

  /** Acquires resources and starts tasks; rejects when it cannot run. */
  start(_services: ServiceLookup): Promise<void> {
    return Promise.resolve();
  }

  /**
   * Finishes work in progress before anything is torn down. Called on every
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
