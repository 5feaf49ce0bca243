/**
 * The contract of the lifecycle service: whether this daemon can serve
 * requests, what it still lacks, and when it starts to drain.
 */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { DaemonState } from "../../types/enums.ts";

/** Reports the state of this daemon and starts its drain. */
export abstract class Lifecycle extends Service {
  override readonly name = ServiceName.Lifecycle;

  /** Returns the current state; `Ready` only while requests can be served. */
  abstract state(): DaemonState;

  /** Lists the reasons why the daemon is not ready; empty if it is. */
  abstract blockers(): readonly string[];

  /** Lists the services without an assignment, which cannot be served even by a ready daemon. */
  abstract unassignedServices(): readonly string[];

  /**
   * Takes the daemon out of the load balancer and informs its peers that it
   * drains. Later calls have no effect.
   */
  abstract beginDraining(): void;

  /** Resolves when the daemon starts to drain. */
  abstract waitForDraining(): Promise<void>;
}
