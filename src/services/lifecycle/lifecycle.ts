/**
 * The contract of the lifecycle service: whether this daemon can serve, why it
 * cannot yet, and when it starts to leave.
 */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { DaemonState } from "../../types/enums.ts";

/** Knows the state of this daemon. */
export abstract class Lifecycle extends Service {
  override readonly name = ServiceName.Lifecycle;

  /** The present state; `Ready` only while requests can be served. */
  abstract state(): DaemonState;

  /** Why the daemon is not ready; empty when it is. */
  abstract blockers(): readonly string[];

  /** Services that cannot be served although the daemon is ready. */
  abstract unassignedServices(): readonly string[];

  /**
   * Takes the daemon out of the balancer and tells its peers that it leaves.
   * Later calls have no effect.
   */
  abstract beginDraining(): void;

  /** Resolves when the daemon starts to drain. */
  abstract waitForDraining(): Promise<void>;
}
