import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { BackendServerState, MoveReason } from "../../types/enums.ts";
import type { AssignedServer, DaemonInfo } from "../../types/types.ts";
import { HomeChooser } from "./home_assignment.ts";
import { createHashFunction } from "../../hashing/key_hash.ts";

const hash = await createHashFunction();
const dataCentres = ["dc-a", "dc-b", "dc-c"];

function createDaemons(count: number): DaemonInfo[] {
  return Array.from({ length: count }, (_, index) => ({
    daemonId: `daemon-${index}`,
    address: `daemon-${index}:1`,
    dataCentre: dataCentres[index % dataCentres.length]!,
    isDraining: false,
  }));
}

function createServer(index: number): AssignedServer {
  return {
    serverId: `server-${index}`,
    address: `server-${index}:1`,
    dataCentre: "dc-a",
    state: BackendServerState.Live,
    homeDaemonId: "",
    standbyDaemonId: undefined,
    homeFence: 0,
  };
}

function createChooser(
  daemons: readonly DaemonInfo[],
  serverCount: number,
): HomeChooser {
  return new HomeChooser({ hash, daemons, loads: new Map(), serverCount });
}

describe("HomeChooser", () => {
  describe("a home", () => {
    it("is assigned no more than its share of servers", () => {
      const chooser = createChooser(createDaemons(12), 68);
      const loads = new Map<string, number>();
      for (let index = 0; index < 68; index++) {
        const home = chooser
          .tryChooseHome(createServer(index), MoveReason.Initial)!;
        loads.set(home, (loads.get(home) ?? 0) + 1);
      }
      assert.is(loads.size, 12);
      assert.is(Math.max(...loads.values()), 6);
    });

    it("is never a draining daemon", () => {
      const daemons = createDaemons(2)
        .map((daemon, index) => ({ ...daemon, isDraining: index === 0 }));
      const chooser = createChooser(daemons, 4);
      for (let index = 0; index < 4; index++) {
        const server = createServer(index);
        const home = chooser.tryChooseHome(server, MoveReason.Initial);
        assert.is(home, "daemon-1");
      }
    });
  });

  describe("a standby", () => {
    it("is in another data centre than the home", () => {
      const daemons = createDaemons(6);
      const chooser = createChooser(daemons, 30);
      for (let index = 0; index < 30; index++) {
        const homeDaemonId = chooser
          .tryChooseHome(createServer(index), MoveReason.Initial)!;
        const server = { ...createServer(index), homeDaemonId };
        const standby = chooser.tryChooseStandby(server);
        const find = (id: string | undefined) =>
          daemons.find((daemon) => daemon.daemonId === id);
        assert.is.not(
          find(standby)!.dataCentre,
          find(homeDaemonId)!.dataCentre,
        );
      }
    });

    it("becomes the home unless the move is a rebalance", () => {
      const daemons = createDaemons(3);
      const ranked = createChooser(daemons, 3)
        .tryChooseHome(createServer(0), MoveReason.Initial);
      const standby = daemons.find((d) => d.daemonId !== ranked)!.daemonId;
      const server = { ...createServer(0), standbyDaemonId: standby };
      const choose = (reason: MoveReason) =>
        createChooser(daemons, 3).tryChooseHome(server, reason);
      assert.is(choose(MoveReason.HomeLost), standby);
      assert.is(choose(MoveReason.Rebalance), ranked);
    });
  });
});
