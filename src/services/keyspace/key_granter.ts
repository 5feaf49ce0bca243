/** The contract of the key granter: gives keys to servers while it holds the lease. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { LoadReport } from "./load_reports.ts";

/** Gives keys to servers in one daemon of the fleet. */
export abstract class KeyGranter extends Service {
  override readonly name = ServiceName.KeyGranter;

  /** Whether this daemon gives keys now. */
  abstract isActive(): boolean;

  /** Adds what a daemon has counted; false when this daemon gives no keys. */
  abstract addLoad(report: LoadReport): boolean;

  /** Another daemon seems to have stopped giving keys; look at the lease soon. */
  abstract suspectHolder(): void;

  /** Gives the lease up, as the daemon is about to leave. */
  abstract resign(): Promise<void>;
}
