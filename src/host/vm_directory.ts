/** The platform's list of live and leaving VMs, which lags. */
import type { Stream } from "most";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { VmRecord } from "../types/types.ts";

/** The most recent copy of the list that this daemon has. */
export abstract class VmDirectory extends Service {
  override readonly name = ServiceName.VmDirectory;

  /** The last list received; empty before the first. */
  abstract current(): readonly VmRecord[];

  /** Each list as it arrives. */
  abstract readonly changes: Stream<readonly VmRecord[]>;
}
