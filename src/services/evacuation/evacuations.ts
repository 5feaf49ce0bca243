/** The contract of evacuations: the data centres whose backend servers operators want to receive nothing. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ChangeSignal } from "../../streams/change_signal.ts";

/** Provides the evacuations that operators have requested and not ended. */
export abstract class Evacuations extends Service {
  override readonly name = ServiceName.Evacuations;

  /** Notified after each change. */
  abstract readonly changed: ChangeSignal;

  /** Whether nothing may be sent to the backend servers of the data centre, apart from health checks and key commands. */
  abstract isEvacuated(zone: string): boolean;

  /** The data centres that are evacuated. */
  abstract evacuatedZones(): readonly string[];

  /** How long this daemon has known of the data centre's evacuation; undefined if none is in progress. */
  abstract sinceBeginMs(zone: string): number | undefined;

  /**
   * The time since the end of the data centre's last evacuation; undefined if
   * none has ended since the start of this daemon, if it ended many minutes
   * ago, or if one is in progress.
   */
  abstract sinceEndMs(zone: string): number | undefined;
}
