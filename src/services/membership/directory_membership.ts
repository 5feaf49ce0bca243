/** Membership as the platform's list of VMs shows it. */
import { EventSource } from "../../streams/event_source.ts";
import { subscribe } from "../../streams/subscribe.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { VmRole, VmState } from "../../types/enums.ts";
import type { DaemonId, DaemonInfo, VmRecord } from "../../types/types.ts";
import { type Announcement, Membership } from "./membership.ts";

/** Takes the platform's list at its word. */
export class DirectoryMembership extends Membership {
  readonly #changes = new EventSource<readonly DaemonInfo[]>();
  readonly #identity: Omit<DaemonInfo, "isDraining">;
  #isDraining = false;
  #records: readonly VmRecord[] = [];
  #unsubscribe: () => void = () => {};
  readonly #announcements = new EventSource<Announcement>();
  override readonly changes = this.#changes.stream;
  override readonly announcements = this.#announcements.stream;

  constructor(identity: Omit<DaemonInfo, "isDraining">) {
    super();
    this.#identity = identity;
  }

  override get needs(): readonly ServiceName[] {
    return [ServiceName.VmDirectory];
  }

  override start(services: ServiceLookup): Promise<void> {
    const directory = services.get(ServiceName.VmDirectory);
    this.#records = directory.current();
    this.#unsubscribe = subscribe(directory.changes, (records) => {
      this.#records = records;
      this.#changes.publish(this.daemons());
    });
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#unsubscribe();
    return Promise.resolve();
  }

  override self(): DaemonInfo {
    return { ...this.#identity, isDraining: this.#isDraining };
  }

  override daemons(): readonly DaemonInfo[] {
    const self = this.self();
    const others = this.#records
      .filter((record) => record.role === VmRole.Daemon)
      .filter((record) => record.vmId !== self.daemonId)
      .map((record) => ({
        daemonId: record.vmId,
        address: record.address,
        dataCentre: record.dataCentre,
        isDraining: record.state === VmState.Leaving,
      }));
    return [self, ...others]
      .sort((a, b) => a.daemonId < b.daemonId ? -1 : 1);
  }

  override tryGetDaemon(daemonId: DaemonId): DaemonInfo | undefined {
    return this.daemons().find((daemon) => daemon.daemonId === daemonId);
  }

  override beginDraining(): void {
    this.#isDraining = true;
    this.#changes.publish(this.daemons());
  }

  override announce(announcement: Announcement): void {
    this.#announcements.publish(announcement);
  }
}
