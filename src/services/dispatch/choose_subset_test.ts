import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import type { ServerEntry } from "../../types/routing.ts";
import { chooseSubset } from "./choose_subset.ts";

const zones = ["a", "b", "c"];

function createServers(count: number): ServerEntry[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `i-${i}`,
    bornAtMs: 1,
    service: "pay",
    address: `10.0.0.${i}:80`,
    zone: zones[i % zones.length]!,
    slotCount: 3,
    isDraining: false,
  }));
}

function choose(
  servers: readonly ServerEntry[],
  daemon: number,
  daemonCount: number,
): readonly ServerEntry[] {
  return chooseSubset(servers, {
    daemonId: `daemon-${daemon}`,
    daemonCount,
    zone: zones[daemon % zones.length]!,
  });
}

describe("chooseSubset", () => {
  describe("in a small fleet", () => {
    it("selects every server", () => {
      assert.is(choose(createServers(10), 1, 8).length, 10);
    });
  });

  describe("in a large fleet", () => {
    const daemonCount = 90;
    const servers = createServers(64);

    it("selects few servers, most of them in the daemon's zone", () => {
      const subset = choose(servers, 3, daemonCount);
      assert.is(subset.length, 8);
      const ownCount = Array.from(
        { length: daemonCount },
        (_, daemon) =>
          choose(servers, daemon, daemonCount)
            .filter(({ zone }) => zone === zones[daemon % zones.length]).length,
      )
        .reduce((sum, count) => sum + count, 0);
      assert.ok(
        ownCount > daemonCount * 8 / 2,
        `${ownCount} servers in the daemon's own zone`,
      );
    });

    it("assigns each server to at least three daemons", () => {
      const used = new Map<string, number>();
      for (let daemon = 0; daemon < daemonCount; daemon++) {
        for (const { id } of choose(servers, daemon, daemonCount)) {
          used.set(id, (used.get(id) ?? 0) + 1);
        }
      }
      assert.is(used.size, servers.length);
      assert.ok(
        Math.min(...used.values()) >= 3,
        "fewer than 3 daemons use a server",
      );
    });

    it("replaces one server of the subset when that server leaves", () => {
      const before = choose(servers, 5, daemonCount);
      const leavingServer = before[2]!;
      const after = choose(
        servers.filter((server) => server !== leavingServer),
        5,
        daemonCount,
      );
      const kept = before.filter((server) => after.includes(server));
      assert.is(kept.length, before.length - 1);
    });
  });
});
