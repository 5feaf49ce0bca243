/** The contract of the membership service, which lists the running daemons. */
import type { Stream } from "most";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { DaemonId, DaemonInfo } from "../../types/types.ts";

/** Topics whose newest version is announced to every daemon. */
export enum AnnouncementTopic {
  Lists = "lists",
}

/** The newest version of a topic that some daemon has seen. */
export interface Announcement {
  readonly topic: AnnouncementTopic;
  readonly version: number;
}

/** The daemons that this daemon considers to be running. */
export abstract class Membership extends Service {
  override readonly name = ServiceName.Membership;

  /** Describes this daemon. */
  abstract self(): DaemonInfo;

  /** Every daemon considered to be running, including this daemon, ordered by id. */
  abstract daemons(): readonly DaemonInfo[];

  abstract tryGetDaemon(daemonId: DaemonId): DaemonInfo | undefined;

  /** Marks this daemon as draining, which other daemons see. */
  abstract beginDraining(): void;

  /**
   * Announces a version to every daemon. An announcement is only a hint:
   * receivers read the announced content from the platform, and use the
   * version that they find there.
   */
  abstract announce(announcement: Announcement): void;

  /** The newest version of each topic that this daemon knows. */
  abstract knownAnnouncements(): readonly Announcement[];

  /** Replaces the members by those that the coordinator recorded. */
  abstract setRecordedMembers(members: readonly DaemonInfo[]): void;

  /** Emits each announcement whose version is higher than all before on its topic. */
  abstract readonly announcements: Stream<Announcement>;

  /** Emits the list of daemons after each change. */
  abstract readonly changes: Stream<readonly DaemonInfo[]>;
}
