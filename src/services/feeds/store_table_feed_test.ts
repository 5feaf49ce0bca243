import * as assert from "uvu/assert";
import { ServiceName } from "../../kernel/service_name.ts";
import { describe, it } from "../../testing/describe.ts";
import { GranterFleet } from "../../testing/granter_fleet.ts";

const settleMs = 6_000;
/** As in a large fleet, in which changes gather for long. */
const readerCount = 90;

describe("StoreTableFeed", () => {
  describe("after one daemon was cut off from the store", () => {
    async function loseServer({ otherCount = 5 } = {}) {
      const fleet = new GranterFleet(1);
      const server = fleet.addServer();
      for (let i = 0; i < otherCount; i++) fleet.addServer();
      const { id, kernel } = await fleet.addDaemon();
      await fleet.clock.advance(settleMs);
      fleet.rows.cutOff.add(id);
      await fleet.clock.advance(settleMs);
      fleet.rows.remove("servers", server.id);
      fleet.rows.cutOff.delete(id);
      await fleet.clock.advance(1_500);
      const directory = kernel.get(ServiceName.Directory);
      return { fleet, server, directory };
    }

    it("keeps a server that may register again", async () => {
      const { fleet, server, directory } = await loseServer();
      assert.ok(directory.tryGet(server.id));
      await fleet.clock.advance(2_500);
      assert.is(directory.tryGet(server.id), undefined);
      await fleet.stop();
    });

    it("uses it no more when few of all are missing", async () => {
      const { fleet, server, directory } = await loseServer();
      assert.is(directory.usableServers(server.service).length, 5);
      await fleet.stop();
    });

    it("uses it on when the store may have lost its entries", async () => {
      const { fleet, server, directory } = await loseServer({ otherCount: 1 });
      assert.is(directory.usableServers(server.service).length, 2);
      await fleet.stop();
    });

    it("drops it when another daemon knows that it is gone", async () => {
      const { fleet, server, directory } = await loseServer();
      directory.markComplete();
      assert.is(directory.tryGet(server.id), undefined);
      await fleet.stop();
    });
  });

  describe("after the store was out of reach", () => {
    for (let seed = 1; seed <= 12; seed++) {
      it(`knows what changed within a second and a half (seed ${seed})`, async () => {
        const fleet = new GranterFleet(seed);
        const server = fleet.addServer();
        fleet.addServer();
        const { id, kernel } = await fleet.addDaemon();
        kernel.get(ServiceName.TableFeed).setReaderCount(readerCount);
        await fleet.clock.advance(settleMs);
        fleet.rows.cutOff.add(id);
        await fleet.clock.advance(settleMs + seed * 170);
        fleet.register({ ...server, isDraining: true });
        fleet.rows.cutOff.delete(id);
        await fleet.clock.advance(1_500);
        const known = kernel.get(ServiceName.Directory).tryGet(server.id);
        assert.is(known?.isDraining, true);
        await fleet.stop();
      });
    }
  });
});
