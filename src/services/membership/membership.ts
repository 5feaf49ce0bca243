/** The contract of the membership service: which daemons there are. */
import type { Stream } from "most";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { DaemonId, DaemonInfo } from "../../types/types.ts";

/** The daemons this one believes to be running. */
export abstract class Membership extends Service {
  override readonly name = ServiceName.Membership;

  /** This daemon. */
  abstract self(): DaemonInfo;

  /** Every daemon believed to be running, this one included, ordered by id. */
  abstract daemons(): readonly DaemonInfo[];

  /** Finds a daemon by its identifier. */
  abstract tryGetDaemon(daemonId: DaemonId): DaemonInfo | undefined;

  /** Announces that this daemon is leaving. */
  abstract beginDraining(): void;

  /** The list of daemons after each change. */
  abstract readonly changes: Stream<readonly DaemonInfo[]>;
}
