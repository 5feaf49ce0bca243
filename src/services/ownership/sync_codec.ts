/**
 * Converts reports and answers between their domain types and the protobuf
 * messages of the ownership service.
 */
import { isDeepStrictEqual } from "node:util";
import { create } from "@bufbuild/protobuf";
import {
  type Announcement as AnnouncementMessage,
  type Daemon,
  DaemonSchema,
  type Observation,
  type SyncRequest,
  SyncRequestSchema,
  type SyncResponse,
  SyncResponseSchema,
} from "../../gen/skylarkridge/v1/ownership_pb.ts";
import { BackendServerState } from "../../types/enums.ts";
import type { DaemonInfo } from "../../types/types.ts";
import {
  type Announcement,
  AnnouncementTopic,
} from "../membership/membership.ts";
import {
  decodeAssignmentRow,
  encodeAssignmentRow,
} from "./assignment_codec.ts";
import type {
  HeardDaemon,
  ReportedObservation,
  SyncAnswer,
  SyncReport,
} from "./sync_messages.ts";

const topics: readonly string[] = Object.values(AnnouncementTopic);
const serverStates: readonly string[] = Object.values(BackendServerState);

export function encodeDaemon(daemon: DaemonInfo): Daemon {
  return create(DaemonSchema, { ...daemon });
}

/** Decodes a daemon; an absent message yields empty fields. */
export function decodeDaemon(message: Daemon | undefined): DaemonInfo {
  const { daemonId = "", address = "", dataCentre = "", isDraining = false } =
    message ?? {};
  return { daemonId, address, dataCentre, isDraining };
}

/**
 * Encodes a report. `members` must be the list of the report's
 * `membersVersion`, by which the receiver resolves daemons given by index.
 */
export function encodeSyncReport(
  report: SyncReport,
  members: readonly DaemonInfo[],
): SyncRequest {
  return create(SyncRequestSchema, {
    senderId: report.senderId,
    ...encodeHeard(report.heard, members),
    epoch: BigInt(report.epoch),
    membersVersion: BigInt(report.membersVersion),
    promisedEpoch: BigInt(report.promisedEpoch),
    held: report.held.map(({ service, version }) => ({
      service,
      version: BigInt(version),
    })),
    releases: report.releases.map((release) => ({
      ...release,
      version: BigInt(release.version),
    })),
    observations: report.observations.map(({ observerId, observation }) => ({
      observerId,
      ...observation,
      hotKeys: observation.hotKeys.map((hotKey) => ({ ...hotKey })),
      shards: observation.shardCounts?.map(({ shard }) => shard) ?? [],
      shardCompletedCounts: observation.shardCounts?.map((counted) =>
        counted.completedCount
      ) ?? [],
    })),
    announcements: report.announcements.map(encodeAnnouncement),
  });
}

/** Finds the members list of a version; undefined when it is unknown. */
export type MembersLookup = (
  membersVersion: number,
) => readonly DaemonInfo[] | undefined;

/** Decodes a report; omits daemons whose index cannot be resolved. */
export function decodeSyncReport(
  message: SyncRequest,
  tryGetMembers: MembersLookup,
): SyncReport {
  return {
    senderId: message.senderId,
    epoch: Number(message.epoch),
    membersVersion: Number(message.membersVersion),
    promisedEpoch: Number(message.promisedEpoch),
    held: message.held.map(({ service, version }) => ({
      service,
      version: Number(version),
    })),
    heard: decodeHeard(
      message,
      tryGetMembers(Number(message.membersVersion)) ?? [],
    ),
    releases: message.releases.map(({ daemonId, service, version }) => ({
      daemonId,
      service,
      version: Number(version),
    })),
    observations: message.observations
      .filter(({ state }) => serverStates.includes(state))
      .map(decodeObservation),
    announcements: decodeAnnouncements(message.announcements),
  };
}

export function encodeSyncAnswer(answer: SyncAnswer): SyncResponse {
  return create(SyncResponseSchema, {
    epoch: BigInt(answer.epoch),
    holderId: answer.holderId,
    membersVersion: BigInt(answer.membersVersion),
    members: (answer.members ?? []).map(encodeDaemon),
    assignmentRows: answer.assignments.map(encodeAssignmentRow),
    permitRemainingMs: answer.permitRemainingMs,
    tokenMs: answer.tokenMs ?? 0,
    announcements: answer.announcements.map(encodeAnnouncement),
  });
}

/** Decodes an answer; throws when an assignment row in it is malformed. */
export function decodeSyncAnswer(message: SyncResponse): SyncAnswer {
  return {
    epoch: Number(message.epoch),
    holderId: message.holderId,
    membersVersion: Number(message.membersVersion),
    members: message.members.length === 0
      ? undefined
      : message.members.map(decodeDaemon),
    assignments: message.assignmentRows.map(decodeAssignmentRow),
    permitRemainingMs: message.permitRemainingMs,
    tokenMs: message.tokenMs || undefined,
    announcements: decodeAnnouncements(message.announcements),
  };
}

/**
 * Encodes daemons that equal their entry in the members list by their index,
 * and all others in full. Token ages are rounded up, so that a decoded token is
 * never newer than the original.
 */
function encodeHeard(
  heard: readonly HeardDaemon[],
  members: readonly DaemonInfo[],
) {
  const indexes = new Map(members.map((m, index) => [m.daemonId, index]));
  const findIndex = ({ daemon }: HeardDaemon) => {
    const index = indexes.get(daemon.daemonId) ?? -1;
    return isDeepStrictEqual(members[index], daemon) ? index : -1;
  };
  const indexed = heard.filter((entry) => findIndex(entry) >= 0);
  const complete = heard.filter((entry) => findIndex(entry) < 0);
  const newestTokenMs = Math.max(0, ...indexed.map((e) => e.tokenMs ?? 0));
  return {
    heard: complete.map(({ daemon, tokenMs }) => ({
      daemon: encodeDaemon(daemon),
      tokenMs: tokenMs ?? 0,
    })),
    newestTokenMs,
    heardIndexes: indexed.map(findIndex),
    heardTokenAges: indexed.map(({ tokenMs }) =>
      tokenMs === undefined ? 0 : Math.ceil(newestTokenMs - tokenMs) + 1
    ),
  };
}

function decodeHeard(
  message: SyncRequest,
  members: readonly DaemonInfo[],
): HeardDaemon[] {
  const complete = message.heard.map(({ daemon, tokenMs }) => ({
    daemon: decodeDaemon(daemon),
    tokenMs: tokenMs || undefined,
  }));
  const indexed = message.heardIndexes.flatMap((index, position) => {
    const daemon = members[index];
    const age = message.heardTokenAges[position] ?? 0;
    const tokenMs = age === 0 ? undefined : message.newestTokenMs - age + 1;
    return daemon === undefined ? [] : [{ daemon, tokenMs }];
  });
  return [...complete, ...indexed];
}

function decodeObservation(message: Observation): ReportedObservation {
  const { service, serverId, completedCount, queuedCount } = message;
  return {
    observerId: message.observerId,
    observation: {
      service,
      serverId,
      state: message.state as BackendServerState,
      completedCount,
      queuedCount,
      hotKeys: message.hotKeys.map(({ key, requestsPerSecond }) => ({
        key,
        requestsPerSecond,
      })),
      shardCounts: message.shards.map((shard, index) => ({
        shard,
        completedCount: message.shardCompletedCounts[index] ?? 0,
      })),
    },
  };
}

function encodeAnnouncement({ topic, version }: Announcement) {
  return { topic, version: BigInt(version) };
}

function decodeAnnouncements(
  messages: readonly AnnouncementMessage[],
): Announcement[] {
  return messages
    .filter(({ topic }) => topics.includes(topic))
    .map(({ topic, version }) => ({
      topic: topic as AnnouncementTopic,
      version: Number(version),
    }));
}
