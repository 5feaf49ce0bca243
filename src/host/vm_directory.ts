/** The contract of the VM directory: the platform's list of live and leaving VMs. */
import type { Stream } from "most";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { VmRecord } from "../types/types.ts";

/** Provides the latest list that this daemon received, which may be out of date. */
export abstract class VmDirectory extends Service {
  override readonly name = ServiceName.VmDirectory;

  /** The latest list; empty before the first is received. */
  abstract current(): readonly VmRecord[];

  /** Publishes each list when it is received. */
  abstract readonly changes: Stream<readonly VmRecord[]>;
}
