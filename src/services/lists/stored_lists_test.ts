import * as assert from "uvu/assert";
import { createClient } from "@connectrpc/connect";
import { ListsService } from "../../gen/skylarkridge/v1/lists_pb.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  settleWithin,
  type TestDaemon,
  TestFleet,
} from "../../testing/test_fleet.ts";
import { createListTexts } from "../../testing/test_lists.ts";
import { AttemptOutcome, ListsFreshness } from "../../types/enums.ts";
import type { ListTexts } from "./lists.ts";
import { listsRowKey } from "./lists_codec.ts";
import { computePollIntervalMs } from "./refresh_schedule.ts";

const maxPropagationMs = 3_000;

async function startFleet(daemonCount: number, seed: number) {
  const fleet = new TestFleet({ seed, daemonCount, serverCount: 1 });
  await fleet.start();
  return fleet;
}

function getLists(daemon: TestDaemon) {
  return daemon.kernel.get(ServiceName.Lists);
}

function applyChange(
  fleet: TestFleet,
  daemon: TestDaemon,
  change: { texts: ListTexts; baseVersion: number; author?: string },
) {
  const { texts, baseVersion, author = "ana" } = change;
  const applied = getLists(daemon).apply(texts, { baseVersion, author });
  return settleWithin(fleet.clock, applied, 20_000);
}

function getVersionsInForce(fleet: TestFleet): (number | undefined)[] {
  return fleet.daemons.map((daemon) => getLists(daemon).current()?.version);
}

describe("StoredLists", () => {
  describe("after a change was accepted", () => {
    it("has it in force on 12 daemons within 3 s", async () => {
      const fleet = await startFleet(12, 21);
      const first = fleet.daemons[0]!;
      const texts = createListTexts();
      assert.ok(
        (await applyChange(fleet, first, { texts, baseVersion: 0 })).isOk(),
      );
      assert.is(getLists(first).freshness(), ListsFreshness.Confirmed);
      await fleet.clock.advance(maxPropagationMs);
      assert.equal(getVersionsInForce(fleet), Array(12).fill(1));
      await fleet.stop();
    });

    it("has it in force on a daemon that is disconnected from its peers", async () => {
      const fleet = await startFleet(4, 30);
      const [first, ...others] = fleet.daemons as [TestDaemon, ...TestDaemon[]];
      const disconnected = others.at(-1)!;
      for (const { address } of [first, ...others.slice(0, -1)]) {
        fleet.network.cut(disconnected.address, address);
      }
      const texts = createListTexts();
      await applyChange(fleet, first, { texts, baseVersion: 0 });
      await fleet.clock.advance(5_000);
      assert.equal(getVersionsInForce(fleet), [1, 1, 1, 1]);
      await fleet.stop();
    });

    it("polls the row at most 100 times a second in a fleet of 640 daemons", () => {
      assert.is(computePollIntervalMs(12), 2_000);
      assert.is(640 / (computePollIntervalMs(640) / 1_000), 100);
    });
  });

  describe("when two operators change the same version", () => {
    it("accepts one change and shows the other operator what changed", async () => {
      const fleet = await startFleet(3, 22);
      const [first, second] = fleet.daemons as [TestDaemon, TestDaemon];
      await applyChange(fleet, first, {
        texts: createListTexts(),
        baseVersion: 0,
      });
      await fleet.clock.advance(maxPropagationMs);
      const results = await settleWithin(
        fleet.clock,
        Promise.all([
          getLists(first).apply(createListTexts({ burstCount: 200 }), {
            baseVersion: 1,
            author: "ana",
          }),
          getLists(second).apply(createListTexts({ burstCount: 300 }), {
            baseVersion: 1,
            author: "bo",
          }),
        ]),
        5_000,
      );
      const rejected = results.filter((result) => result.isErr());
      assert.is(rejected.length, 1);
      const { message } = rejected[0]!._unsafeUnwrapErr();
      assert.match(message, /SR8002.*version 2 by (ana|bo) is in force/);
      assert.match(message, "- allowances.yaml:7           requestCount: 100");
      assert.match(message, /\+ allowances\.yaml:7 +requestCount: (200|300)/);
      await fleet.stop();
    });
  });

  describe("when the answer to a write is lost", () => {
    it("accepts the change once", async () => {
      const fleet = await startFleet(2, 23);
      const first = fleet.daemons[0]!;
      fleet.platform.fault = {
        ...fleet.platform.fault,
        losesWriteAnswers: true,
      };
      const texts = createListTexts();
      const applied = await applyChange(fleet, first, {
        texts,
        baseVersion: 0,
      });
      assert.is(applied._unsafeUnwrap().version, 1);
      const repeated = await applyChange(fleet, first, {
        texts,
        baseVersion: 0,
      });
      assert.is(repeated._unsafeUnwrap().version, 1);
      const revisions = await settleWithin(
        fleet.clock,
        getLists(first).revisions(),
        2_000,
      );
      assert.is(revisions._unsafeUnwrap().length, 1);
      await fleet.stop();
    });

    it("reports an unknown outcome if the platform remains unavailable", async () => {
      const fleet = await startFleet(2, 24);
      const first = fleet.daemons[0]!;
      const texts = createListTexts();
      const applied = getLists(first)
        .apply(texts, { baseVersion: 0, author: "ana" });
      const table = first.kernel.get(ServiceName.PlatformTable);
      const commit = table.commit.bind(table);
      table.commit = async (writes) => {
        // Other services of the daemon commit other rows.
        if (writes[0]?.key !== listsRowKey) return await commit(writes);
        fleet.platform.fault = {
          ...fleet.platform.fault,
          losesWriteAnswers: true,
        };
        const result = await commit(writes);
        fleet.platform.fault = { ...fleet.platform.fault, isDown: true };
        return result;
      };
      const result = await settleWithin(fleet.clock, applied, 30_000);
      assert.is(result._unsafeUnwrapErr().outcome, AttemptOutcome.Unknown);
      fleet.platform.fault = {
        isDown: false,
        delayMs: 0,
        losesWriteAnswers: false,
      };
      await fleet.clock.advance(maxPropagationMs);
      assert.equal(getVersionsInForce(fleet), [1, 1]);
      await fleet.stop();
    });
  });

  describe("with a version in force", () => {
    it("keeps it while the platform is unavailable", async () => {
      const fleet = await startFleet(2, 25);
      const first = fleet.daemons[0]!;
      await applyChange(fleet, first, {
        texts: createListTexts(),
        baseVersion: 0,
      });
      await fleet.clock.advance(maxPropagationMs);
      fleet.platform.fault = { ...fleet.platform.fault, isDown: true };
      await fleet.clock.advance(600_000);
      assert.equal(getVersionsInForce(fleet), [1, 1]);
      const refused = await applyChange(fleet, first, {
        texts: createListTexts({ burstCount: 7 }),
        baseVersion: 1,
      });
      assert.is(refused._unsafeUnwrapErr().outcome, AttemptOutcome.NotSent);
      await fleet.stop();
    });

    it("passes it to a new daemon, as possibly stale, while the platform is unavailable", async () => {
      const fleet = await startFleet(2, 26);
      const first = fleet.daemons[0]!;
      await applyChange(fleet, first, {
        texts: createListTexts(),
        baseVersion: 0,
      });
      await fleet.clock.advance(maxPropagationMs);
      fleet.platform.fault = { ...fleet.platform.fault, isDown: true };
      const added = await fleet.addDaemon();
      assert.is(getLists(added).freshness(), ListsFreshness.Missing);
      await fleet.clock.advance(3_000);
      assert.is(getLists(added).freshness(), ListsFreshness.PossiblyStale);
      assert.is(getLists(added).current()?.version, 1);
      fleet.platform.fault = { ...fleet.platform.fault, isDown: false };
      await fleet.clock.advance(maxPropagationMs);
      assert.is(getLists(added).freshness(), ListsFreshness.Confirmed);
      await fleet.stop();
    });

    it("brings a daemon up to date that resumes with an older version", async () => {
      const fleet = await startFleet(3, 27);
      const [first, frozen] = fleet.daemons as [TestDaemon, TestDaemon];
      await applyChange(fleet, first, {
        texts: createListTexts(),
        baseVersion: 0,
      });
      await fleet.clock.advance(maxPropagationMs);
      frozen.clock.freeze();
      const stale = getLists(frozen)
        .apply(createListTexts({ burstCount: 1 }), {
          baseVersion: 1,
          author: "late",
        });
      await applyChange(fleet, first, {
        texts: createListTexts({ burstCount: 50 }),
        baseVersion: 1,
      });
      await fleet.clock.advance(60_000);
      frozen.clock.thaw();
      const conflict = await settleWithin(fleet.clock, stale, 1_000);
      assert.match(conflict._unsafeUnwrapErr().message, "SR8002");
      await fleet.clock.advance(50);
      assert.equal(getVersionsInForce(fleet), [2, 2, 2]);
      await fleet.stop();
    });

    it("ignores a row that names an older version", async () => {
      const fleet = await startFleet(2, 28);
      const first = fleet.daemons[0]!;
      const { state } = fleet.platform;
      await applyChange(fleet, first, {
        texts: createListTexts(),
        baseVersion: 0,
      });
      const oldRow = state.read(listsRowKey)!;
      await applyChange(fleet, first, {
        texts: createListTexts({ burstCount: 50 }),
        baseVersion: 1,
      });
      await fleet.clock.advance(maxPropagationMs);
      state.commit([{
        key: listsRowKey,
        value: oldRow.value,
        expectedVersion: state.read(listsRowKey)!.version,
      }]);
      await fleet.clock.advance(maxPropagationMs);
      assert.equal(getVersionsInForce(fleet), [2, 2]);
      await fleet.stop();
    });
  });

  describe("over Connect", () => {
    it("serves operators through any daemon", async () => {
      const fleet = await startFleet(2, 29);
      const [first, second] = fleet.daemons as [TestDaemon, TestDaemon];
      const client = createClient(
        ListsService,
        first.kernel.get(ServiceName.PeerTransport).connectTo(second.address),
      );
      const texts = createListTexts();
      const call = <T>(promise: Promise<T>) =>
        settleWithin(fleet.clock, promise, 1_000);
      const checked = await call(client.checkLists({
        texts: { ...texts, plansText: "customers: { a: tin }" },
      }));
      assert.is(checked.errors.length, 1);
      assert.is(checked.warnings.length, 1);
      const applied = await call(
        client.applyLists({ texts, baseVersion: 0n, author: "ana" }),
      );
      assert.is(applied.version, 1n);
      const held = await call(client.getLists({}));
      assert.is(held.texts?.plansText, texts.plansText);
      assert.is(held.revision?.author, "ana");
      const { revisions } = await call(client.listRevisions({}));
      assert.equal(revisions.map(({ version }) => version), [1n]);
      const conflict = call(client.applyLists({
        texts: createListTexts({ burstCount: 3 }),
        baseVersion: 0n,
        author: "bo",
      }));
      const message = await conflict.then(() => "accepted", String);
      assert.match(message, "SR8002");
      await fleet.stop();
    });
  });
});
