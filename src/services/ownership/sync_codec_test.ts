import * as assert from "uvu/assert";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { SyncRequestSchema } from "../../gen/skylarkridge/v1/ownership_pb.ts";
import { describe, it } from "../../testing/describe.ts";
import { BackendServerState } from "../../types/enums.ts";
import type { DaemonInfo } from "../../types/types.ts";
import { AnnouncementTopic } from "../membership/membership.ts";
import { decodeSyncReport, encodeSyncReport } from "./sync_codec.ts";
import type { HeardDaemon, SyncReport } from "./sync_messages.ts";

const members: readonly DaemonInfo[] = ["a", "b", "c"].map((daemonId) => ({
  daemonId,
  address: `${daemonId}:1`,
  dataCentre: "dc-a",
  isDraining: false,
}));

function createReport(heard: readonly HeardDaemon[]): SyncReport {
  return {
    senderId: "a",
    epoch: 3,
    membersVersion: 7,
    promisedEpoch: 2,
    held: [{ service: "roster", version: 5 }],
    heard,
    releases: [{ daemonId: "a", service: "roster", version: 5 }],
    observations: [{
      observerId: "a",
      observation: {
        service: "roster",
        serverId: "server-1",
        state: BackendServerState.Warming,
        completedCount: 3,
        queuedCount: 1,
        hotKeys: [{ key: "farm", requestsPerSecond: 2.5 }],
        shardCounts: [{ shard: 4, completedCount: 3 }],
      },
    }],
    announcements: [{ topic: AnnouncementTopic.Lists, version: 9 }],
  };
}

function transmit(report: SyncReport): SyncReport {
  const bytes = toBinary(SyncRequestSchema, encodeSyncReport(report, members));
  return decodeSyncReport(
    fromBinary(SyncRequestSchema, bytes),
    (version) => version === 7 ? members : undefined,
  );
}

describe("sync codec", () => {
  it("preserves every field of a report", () => {
    const report = createReport([
      { daemon: members[0]!, tokenMs: 5_000 },
      { daemon: members[1]!, tokenMs: undefined },
      { daemon: members[2]!, tokenMs: 4_700 },
    ]);
    assert.equal(transmit(report), report);
  });

  it("encodes daemons in full that differ from the members list", () => {
    const draining = { ...members[1]!, isDraining: true };
    const unlisted = { ...members[1]!, daemonId: "z" };
    const report = createReport([
      { daemon: draining, tokenMs: 4_000 },
      { daemon: unlisted, tokenMs: undefined },
      { daemon: members[0]!, tokenMs: 5_000 },
    ]);
    assert.equal(transmit(report), report);
  });

  it("never decodes a token as newer than it was", () => {
    const heard = [
      { daemon: members[0]!, tokenMs: 5_000.5 },
      { daemon: members[1]!, tokenMs: 4_999.9 },
    ];
    for (
      const [index, entry] of transmit(createReport(heard)).heard.entries()
    ) {
      assert.ok(entry.tokenMs! <= heard[index]!.tokenMs);
    }
  });

  it("omits daemons whose members list is unknown", () => {
    const report = {
      ...createReport([{ daemon: members[0]!, tokenMs: 1 }]),
      membersVersion: 8,
    };
    assert.equal(transmit(report).heard, []);
  });
});
