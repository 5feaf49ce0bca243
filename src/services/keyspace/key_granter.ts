/** The contract of the key granter, which grants keys to backend servers while it holds the lease. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { LoadReport } from "./load_reports.ts";

/** Grants keys to backend servers in one daemon of the fleet. */
export abstract class KeyGranter extends Service {
  override readonly name = ServiceName.KeyGranter;

  /** Whether this daemon is the one that grants keys. */
  abstract isActive(): boolean;

  /** Adds a daemon's load report; returns false when this daemon does not grant keys. */
  abstract addLoad(report: LoadReport): boolean;

  /** Polls the lease soon, because the daemon that holds the lease may be lost. */
  abstract suspectLeaseHolder(): void;

  /** Releases the lease, because the daemon is about to stop. */
  abstract resign(): Promise<void>;
}
