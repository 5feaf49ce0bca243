/**
 * Membership from two sources: the members that the coordinator recorded, and
 * the platform's list, which lags, for daemons that are not recorded yet.
 * Announcements spread with the syncs of the ownership service.
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

/** What a daemon says of itself. */
export type DaemonIdentity = Omit<DaemonInfo, "isDraining">;

/** Joins the recorded members and the platform's list. */
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
    this.#join([]);
  }

  override get needs(): readonly ServiceName[] {
    return [ServiceName.VmDirectory];
  }

  override start(services: ServiceLookup): Promise<void> {
    const directory = services.get(ServiceName.VmDirectory);
    this.#join(directory.current());
    this.#unsubscribe = subscribe(directory.changes, (records) => {
      this.#update(records);
    });
    this.#current = () => directory.current();
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
    this.#update(this.#current());
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

  override learnMembers(members: readonly DaemonInfo[]): void {
    this.#members = members;
    this.#update(this.#current());
  }

  #current: () => readonly VmRecord[] = () => [];

  #update(records: readonly VmRecord[]): void {
    this.#join(records);
    this.#changes.publish(this.daemons());
  }

  /** The recorded members go before the platform's list. */
  #join(records: readonly VmRecord[]): void {
    const listed = records.filter(({ role }) => role === VmRole.Daemon)
      .map(createDaemonInfo);
    const joined = [...listed, ...this.#members, this.self()]
      .map((daemon) => [daemon.daemonId, daemon] as const);
    const ordered = [...new Map(joined)].sort(([a], [b]) => a < b ? -1 : 1);
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
