import * as assert from "uvu/assert";
import { ServiceName } from "../../kernel/service_name.ts";
import { describe, it } from "../../testing/describe.ts";
import { GranterFleet } from "../../testing/granter_fleet.ts";
import {
  type DaemonRecord,
  daemonRowKey,
  encodeJson,
  fleetTable,
} from "./fleet_rows.ts";

const settleMs = 4_000;

/** Starts two daemons, the first of which finds a row that a process before it has written. */
async function startAfter(earlier: DaemonRecord) {
  const fleet = new GranterFleet(1);
  const row = [fleetTable, daemonRowKey("daemon-1")] as const;
  fleet.rows.put(...row, encodeJson(earlier));
  for (let i = 0; i < 2; i++) await fleet.addDaemon();
  await fleet.clock.advance(settleMs);
  const keySpaces = fleet.daemons
    .map(({ kernel }) => kernel.get(ServiceName.KeySpace));
  return { fleet, keySpaces };
}

describe("FollowedKeySpace", () => {
  describe("of a daemon whose row an earlier process has written", () => {
    const rows: Readonly<Record<string, DaemonRecord>> = {
      "from a release without addresses": { coreCount: 1 },
      "with another address": { coreCount: 1, address: "daemon-9:1" },
      "with the same address": { coreCount: 1, address: "daemon-1:1" },
    };
    for (const [title, earlier] of Object.entries(rows)) {
      it(`publishes its address to the others (${title})`, async () => {
        const { fleet, keySpaces } = await startAfter(earlier);
        const [own, other] = keySpaces;
        assert.equal(own!.peerAddresses(), ["daemon-2:1"]);
        assert.equal(other!.peerAddresses(), ["daemon-1:1"]);
        await fleet.stop();
      });
    }

    it("counts the daemon once", async () => {
      const { fleet, keySpaces } = await startAfter(
        rows["with another address"]!,
      );
      assert.is(keySpaces[0]!.daemonCount(), 2);
      await fleet.stop();
    });
  });
});
