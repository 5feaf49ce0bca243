/** The contract of the membership service: which daemons there are. */
import type { Stream } from "most";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { DaemonId, DaemonInfo } from "../../types/types.ts";

/** Subjects whose newest version every daemon should learn soon. */
export enum AnnouncementTopic {
  Lists = "lists",
}

/** The newest version of a topic that some daemon has seen. */
export interface Announcement {
  readonly topic: AnnouncementTopic;
  readonly version: number;
}

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

  /**
   * Spreads a version to every daemon. A hint only: receivers read what it
   * announces from the platform and never take it as newer than it is.
   */
  abstract announce(announcement: Announcement): void;

  /** The newest version of each topic that this daemon knows. */
  abstract knownAnnouncements(): readonly Announcement[];

  /** Takes over the members that the coordinator recorded. */
  abstract learnMembers(members: readonly DaemonInfo[]): void;

  /** Each announcement with a higher version than any before. */
  abstract readonly announcements: Stream<Announcement>;

  /** The list of daemons after each change. */
  abstract readonly changes: Stream<readonly DaemonInfo[]>;
}
