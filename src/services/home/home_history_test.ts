import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { BackendServerState } from "../../types/enums.ts";
import type { ServiceAssignment } from "../../types/types.ts";
import { HomeHistory } from "./home_history.ts";

function createAssignment(
  homeDaemonId: string,
  standbyDaemonId: string | undefined,
): ServiceAssignment {
  const server = {
    serverId: "server-1",
    address: "10.0.0.1:80",
    state: BackendServerState.Live,
    homeDaemonId,
    standbyDaemonId,
  };
  return {
    service: "roster",
    shardServers: [0],
    servers: [server],
    overrides: [],
  } as unknown as ServiceAssignment;
}

function noteAssignment(history: HomeHistory, assignment: ServiceAssignment) {
  return history.noteAssignment(assignment, {
    selfId: "daemon-3",
    tryGetShard: () => 0,
  });
}

describe("HomeHistory", () => {
  it("makes a new home fetch from the former home", () => {
    const history = new HomeHistory();
    noteAssignment(history, createAssignment("daemon-1", "daemon-2"));
    const { takenOverFrom } = noteAssignment(
      history,
      createAssignment("daemon-3", "daemon-4"),
    );
    assert.is(takenOverFrom.length, 1);
    assert.is(takenOverFrom[0]!.homeId, "daemon-1");
    assert.is(takenOverFrom[0]!.standbyId, "daemon-2");
  });

  it("makes the standby of a new home fetch as well", () => {
    const history = new HomeHistory();
    noteAssignment(history, createAssignment("daemon-1", "daemon-2"));
    const { takenOverFrom } = noteAssignment(
      history,
      createAssignment("daemon-4", "daemon-3"),
    );
    assert.is(takenOverFrom.length, 1);
    assert.is(takenOverFrom[0]!.homeId, "daemon-1");
  });

  it("makes a standby that already has the records fetch nothing", () => {
    const history = new HomeHistory();
    noteAssignment(history, createAssignment("daemon-1", "daemon-3"));
    const { takenOverFrom } = noteAssignment(
      history,
      createAssignment("daemon-4", "daemon-3"),
    );
    assert.equal(takenOverFrom, []);
  });

  it("makes a new standby of an unchanged home fetch nothing", () => {
    const history = new HomeHistory();
    noteAssignment(history, createAssignment("daemon-1", "daemon-2"));
    const { takenOverFrom } = noteAssignment(
      history,
      createAssignment("daemon-1", "daemon-3"),
    );
    assert.equal(takenOverFrom, []);
  });
});
