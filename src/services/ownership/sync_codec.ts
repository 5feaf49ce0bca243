/** Translates control messages to and from their Connect encoding. */
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
  ReportedObservation,
  SyncAnswer,
  SyncReport,
} from "./sync_messages.ts";

const topics: readonly string[] = Object.values(AnnouncementTopic);
const serverStates: readonly string[] = Object.values(BackendServerState);

/** Encodes a daemon. */
export function encodeDaemon(daemon: DaemonInfo): Daemon {
  return create(DaemonSchema, { ...daemon });
}

/** Decodes a daemon. */
export function decodeDaemon(message: Daemon | undefined): DaemonInfo {
  const { daemonId = "", address = "", dataCentre = "", isDraining = false } =
    message ?? {};
  return { daemonId, address, dataCentre, isDraining };
}

/** Encodes a report. */
export function encodeSyncReport(report: SyncReport): SyncRequest {
  return create(SyncRequestSchema, {
    sender: encodeDaemon(report.sender),
    epoch: BigInt(report.epoch),
    membersVersion: BigInt(report.membersVersion),
    promisedEpoch: BigInt(report.promisedEpoch),
    held: report.held.map(({ service, version }) => ({
      service,
      version: BigInt(version),
    })),
    heard: report.heard.map(({ daemon, tokenMs }) => ({
      daemon: encodeDaemon(daemon),
      tokenMs: tokenMs ?? 0,
    })),
    releases: report.releases.map((release) => ({
      ...release,
      version: BigInt(release.version),
    })),
    observations: report.observations.map(({ observerId, observation }) => ({
      observerId,
      ...observation,
      hotKeys: observation.hotKeys.map((hotKey) => ({ ...hotKey })),
    })),
    announcements: report.announcements.map(encodeAnnouncement),
  });
}

/** Decodes a report. */
export function decodeSyncReport(message: SyncRequest): SyncReport {
  return {
    sender: decodeDaemon(message.sender),
    epoch: Number(message.epoch),
    membersVersion: Number(message.membersVersion),
    promisedEpoch: Number(message.promisedEpoch),
    held: message.held.map(({ service, version }) => ({
      service,
      version: Number(version),
    })),
    heard: message.heard.map(({ daemon, tokenMs }) => ({
      daemon: decodeDaemon(daemon),
      tokenMs: tokenMs || undefined,
    })),
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

/** Encodes an answer. */
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

/** Decodes an answer; throws when a row in it is malformed. */
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
