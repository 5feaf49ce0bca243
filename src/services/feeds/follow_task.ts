/** The task with which a service follows one table between its start and its stop. */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { FollowOptions } from "./table_feed.ts";

/** The dependencies of every service that follows a table; each adds the services that it needs to decode rows. */
export const followDependencies: readonly ServiceName[] = [
  ServiceName.Clock,
  ServiceName.Random,
  ServiceName.Log,
  ServiceName.TableFeed,
];

/** Runs the subscription of one service to one table. */
export class FollowTask {
  readonly #stopping = new AbortController();
  #task: Promise<void> = Promise.resolve();

  /** Aborted when the service stops. */
  get signal(): AbortSignal {
    return this.#stopping.signal;
  }

  /** Starts to deliver the rows and changes of the table to the reader. */
  start(
    services: ServiceLookup,
    { table, ...options }: Omit<FollowOptions, "signal"> & {
      readonly table: string;
    },
  ): void {
    this.#task = services.get(ServiceName.TableFeed)
      .follow(table, { ...options, signal: this.signal });
  }

  /** Stops the task; resolves when the task has ended. */
  stop(): Promise<void> {
    this.#stopping.abort();
    return this.#task;
  }
}
