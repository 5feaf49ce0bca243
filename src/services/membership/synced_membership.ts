/**
 * Membership from two sources: the members that the coordinator recorded, and,
 * for daemons that are not recorded yet, the platform's list of VMs, which lags
 * behind the actual state. The ownership service carries announcements in its sync messages.
 */
import { EventSource } from "../../streams/event_source.ts";
import { subscribe } from "../../streams/subscribe.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { VmRole, VmState } from "../../types/enums.ts";
import type { DaemonId, DaemonInfo, VmRecord } from "../../types/types.ts";
import {
  type Announcement,
  type AnnouncementTopic,
  Membership,
} from "./membership.ts";

/** The properties of this daemon that do not change while it runs. */
export type DaemonIdentity = Omit<DaemonInfo, "isDraining">;

/** Merges the recorded members with the platform's list. */
export class SyncedMembership extends Membership {
  readonly #changes = new EventSource<readonly DaemonInfo[]>();
  readonly #announcements = new EventSource<Announcement>();
  readonly #identity: DaemonIdentity;
  readonly #versions = new Map<AnnouncementTopic, number>();
  #isDraining = false;
  #members: readonly DaemonInfo[] = [];
  #daemons = new Map<DaemonId, DaemonInfo>();
  #unsubscribe: () => void = () => {};
  override readonly changes = this.#changes.stream;
  override readonly announcements = this.#announcements.stream;

  constructor(identity: DaemonIdentity) {
    super();
    this.#identity = identity;
    this.#mergeMembers([]);
  }

  override get dependencies(): readonly ServiceName[] {
    return [ServiceName.VmDirectory];
  }

  override start(services: ServiceLookup): Promise<void> {
    const directory = services.get(ServiceName.VmDirectory);
    this.#mergeMembers(directory.current());
    this.#unsubscribe = subscribe(directory.changes, (records) => {
      this.#update(records);
    });
    this.#listVms = () => directory.current();
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
    return [...this.#daemons.values()];
  }

  override tryGetDaemon(daemonId: DaemonId): DaemonInfo | undefined {
    return this.#daemons.get(daemonId);
  }

  override beginDraining(): void {
    this.#isDraining = true;
    this.#update(this.#listVms());
  }

  override announce(announcement: Announcement): void {
    const known = this.#versions.get(announcement.topic) ?? 0;
    if (announcement.version <= known) return;
    this.#versions.set(announcement.topic, announcement.version);
    this.#announcements.publish(announcement);
  }

  override knownAnnouncements(): readonly Announcement[] {
    return [...this.#versions].map(([topic, version]) => ({ topic, version }));
  }

  override setRecordedMembers(members: readonly DaemonInfo[]): void {
    this.#members = members;
    this.#update(this.#listVms());
  }

  #listVms: () => readonly VmRecord[] = () => [];

  #update(records: readonly VmRecord[]): void {
    this.#mergeMembers(records);
    this.#changes.publish(this.daemons());
  }

  /** Recorded members take precedence over the platform's list. */
  #mergeMembers(records: readonly VmRecord[]): void {
    const platformDaemons = records.filter(({ role }) => role === VmRole.Daemon)
      .map(createDaemonInfo);
    const merged = [...platformDaemons, ...this.#members, this.self()]
      .map((daemon) => [daemon.daemonId, daemon] as const);
    const ordered = [...new Map(merged)].sort(([a], [b]) => a < b ? -1 : 1);
    this.#daemons = new Map(ordered);
  }
}

function createDaemonInfo(record: VmRecord): DaemonInfo {
  return {
    daemonId: record.vmId,
    address: record.address,
    dataCentre: record.dataCentre,
    isDraining: record.state === VmState.Leaving,
  };
}
