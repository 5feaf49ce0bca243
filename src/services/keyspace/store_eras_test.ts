import * as assert from "uvu/assert";
import { LogEvent } from "../../diagnostics/log_events.ts";
import { SeededRandomSource } from "../../host/random_source.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  type GranterDaemon,
  GranterFleet,
} from "../../testing/granter_fleet.ts";
import { encodeJson, fleetTable, leaseKey, leaseTable } from "./fleet_rows.ts";

/** The tables that operators and servers write, and write again. */
const rewrittenTables = ["configuration", "servers"];
const settleMs = 6_000;
/** Longest time after a return of the store until all keys are served again. */
const recoveryMs = 20_000;

interface Drill {
  readonly copyAgeMs: number;
  readonly awayMs: number;
  readonly rewriteDelayMs?: number;
}

async function startFleet(
  seed: number,
  { daemonCount = 3, serverCount = 5 } = {},
): Promise<GranterFleet> {
  const fleet = new GranterFleet(seed);
  for (let i = 0; i < serverCount; i++) fleet.addServer();
  for (let i = 0; i < daemonCount; i++) await fleet.addDaemon();
  await fleet.clock.advance(settleMs);
  return fleet;
}

/** Lets the store be away and come back from a copy; `inLostSeconds` runs between the copy and the store's leaving. */
async function drill(
  fleet: GranterFleet,
  { copyAgeMs, awayMs, rewriteDelayMs = 300 }: Drill,
  inLostSeconds: () => Promise<void> | void = () => {},
): Promise<void> {
  const copy = fleet.rows.takeCopy();
  await inLostSeconds();
  await fleet.clock.advance(copyAgeMs);
  fleet.rows.isDown = true;
  await fleet.clock.advance(awayMs);
  const rewrite = fleet.rows.restore(copy, rewrittenTables);
  fleet.rows.isDown = false;
  await fleet.clock.advance(rewriteDelayMs);
  rewrite();
}

/** Lets all daemons suspect the granter, as failed syncs do, until the time is over or all keys are held. */
async function recover(fleet: GranterFleet): Promise<void> {
  for (let ms = 0; ms < recoveryMs; ms += 500) {
    if (fleet.granters().length === 0) {
      for (const { kernel } of fleet.daemons) {
        kernel.get(ServiceName.KeyGranter).suspectLeaseHolder();
      }
    }
    await fleet.clock.advance(500);
  }
}

async function assertRecovered(fleet: GranterFleet): Promise<void> {
  await recover(fleet);
  assert.equal(fleet.servers.violations, []);
  assert.is(fleet.servers.heldFraction(), 1);
  await fleet.stop();
}

function termOf({ log }: GranterDaemon): number {
  const lines = log.lines
    .filter(({ event }) => event === LogEvent.KeyGranterTermBegun);
  return Number(lines.at(-1)?.fields.term);
}

describe("when the store comes back from an older copy", () => {
  describe("while the key granter runs", () => {
    // Guards against holds that end, and keys that move, although nobody was lost.
    it("goes on with its holds, without a pause", async () => {
      const fleet = await startFleet(1);
      const [granter] = fleet.granters();
      const holders = () =>
        Array.from(
          { length: 256 },
          (_, i) =>
            fleet.servers.holdersOf(i * 256 + 7).map(({ name }) => name).join(),
        );
      const before = holders();
      await drill(fleet, { copyAgeMs: 3_000, awayMs: 1_000 });
      for (let ms = 0; ms < 8_000; ms += 250) {
        await fleet.clock.advance(250);
        assert.equal(holders(), before, `${ms} ms after the return`);
      }
      assert.is(fleet.granters()[0]?.id, granter?.id);
      await assertRecovered(fleet);
    });

    // Guards against a copy that never learns of the era, since versions have caught up.
    it("is noticed by a daemon that was cut off until versions had passed its own", async () => {
      const fleet = await startFleet(2);
      const server = fleet.addServer();
      await fleet.clock.advance(settleMs);
      const copy = fleet.rows.takeCopy();
      for (let i = 0; i < 20; i++) fleet.configure(2 + i);
      await fleet.clock.advance(1_000);
      const cutOff = fleet.daemons.find(({ id }) =>
        id !== fleet.granters()[0]?.id
      )!;
      fleet.rows.cutOff.add(cutOff.id);
      await fleet.clock.advance(3_000);
      fleet.rows.restore(copy, rewrittenTables);
      fleet.register({ ...server, isDraining: true });
      for (let i = 0; i < 40; i++) fleet.configure(30 + i);
      fleet.rows.cutOff.clear();
      await fleet.clock.advance(4_000);
      const { kernel } = cutOff;
      assert.is(
        kernel.get(ServiceName.Directory).tryGet(server.id)?.isDraining,
        true,
      );
      assert.is(
        kernel.get(ServiceName.Routing).currentTable()!.version,
        69,
      );
      await assertRecovered(fleet);
    });

    // Guards against a configuration that goes back.
    it("keeps the configuration of the lost seconds in force", async () => {
      const fleet = await startFleet(3);
      const versions = () =>
        fleet.daemons.map(({ kernel }) =>
          kernel.get(ServiceName.Routing).currentTable()!.version
        );
      await drill(fleet, {
        copyAgeMs: 2_500,
        awayMs: 600,
        rewriteDelayMs: 4_000,
      }, () => {
        fleet.configure(2);
      });
      assert.equal(versions(), [2, 2, 2]);
      await assertRecovered(fleet);
    });

    // Guards against a server that is taken for gone, and one that is used again.
    it("trusts neither missing entries of servers nor those that are back", async () => {
      const fleet = await startFleet(4);
      const left = fleet.addServer();
      await fleet.clock.advance(settleMs);
      const usable = () =>
        fleet.daemons[1]!.kernel.get(ServiceName.Directory)
          .usableServers("roster").map(({ id }) => id);
      let joinedId = "";
      const copy = fleet.rows.takeCopy();
      joinedId = fleet.addServer().id;
      fleet.register({ ...left, isDraining: true });
      await fleet.clock.advance(1_500);
      fleet.rows.isDown = true;
      await fleet.clock.advance(500);
      const rewrite = fleet.rows.restore(copy, rewrittenTables);
      fleet.rows.isDown = false;
      for (let ms = 0; ms < 1_500; ms += 100) {
        await fleet.clock.advance(100);
        assert.ok(usable().includes(joinedId), `${ms} ms after the return`);
        assert.not.ok(usable().includes(left.id), `${ms} ms after the return`);
      }
      rewrite();
      await fleet.clock.advance(5_000);
      assert.ok(usable().includes(joinedId));
      assert.not.ok(usable().includes(left.id));
      await assertRecovered(fleet);
    });

    // Guards against a daemon that the others no longer know.
    it("writes the rows of daemons again that started in the lost seconds", async () => {
      const fleet = await startFleet(5);
      await drill(fleet, { copyAgeMs: 2_000, awayMs: 500 }, async () => {
        await fleet.addDaemon();
      });
      await fleet.clock.advance(4_000);
      const rows = fleet.rows.rowsOf(fleetTable)
        .filter(({ key }) => key.startsWith("daemon/"));
      assert.is(rows.length, 4);
      await assertRecovered(fleet);
    });
  });

  describe("and undoes a lease", () => {
    // Guards against two granters that both believe in their lease.
    it("lets no other daemon act while the former holder may", async () => {
      for (let seed = 11; seed <= 16; seed++) {
        const fleet = await startFleet(seed);
        const [former] = fleet.granters();
        const resigned = former!.kernel.get(ServiceName.KeyGranter).resign();
        await fleet.clock.advance(10);
        await resigned;
        const copy = fleet.rows.takeCopy();
        await recoverUntilGranter(fleet);
        const [holder] = fleet.granters();
        const [first] = fleet.servers.servers.values();
        fleet.register({ ...first!.entry, isDraining: true });
        await fleet.clock.advance(1_500);
        // The holder doesn't see the new era, the others do.
        fleet.rows.cutOff.add(holder!.id);
        fleet.rows.restore(copy, rewrittenTables)();
        for (let ms = 0; ms < 12_000; ms += 250) {
          for (const { kernel } of fleet.daemons) {
            kernel.get(ServiceName.KeyGranter).suspectLeaseHolder();
          }
          await fleet.clock.advance(250);
          assert.equal(fleet.servers.violations, [], `seed ${seed}`);
        }
        fleet.rows.cutOff.clear();
        await assertRecovered(fleet);
      }
    });

    // Guards against a term, and its fences, that are given out twice.
    it("gives no term out twice", async () => {
      const fleet = await startFleet(12);
      const copy = fleet.rows.takeCopy();
      const terms: number[] = [];
      for (let i = 0; i < 3; i++) {
        const granter = fleet.granters().find(({ clock }) => !clock.isFrozen());
        terms.push(termOf(granter!));
        granter!.clock.freeze();
        await fleet.clock.advance(3_000);
        fleet.rows.restore(copy, rewrittenTables);
        await recoverUntilGranter(fleet);
        granter!.clock.thaw();
        await fleet.clock.advance(2_000);
      }
      terms.push(termOf(fleet.granters()[0]!));
      assert.equal(terms, [...terms].sort((a, b) => a - b));
      assert.is(new Set(terms).size, terms.length);
      assert.ok(terms.at(-1)! * 2 ** 20 < Number.MAX_SAFE_INTEGER);
      await assertRecovered(fleet);
    });

    // Guards against the lease of a new holder that a late write of the old era undoes.
    it("is not fooled by a condition that matches a version given out again", async () => {
      for (let seed = 41; seed <= 46; seed++) {
        const fleet = await startFleet(seed);
        const [former] = fleet.granters();
        const copy = fleet.rows.takeCopy();
        const [stale] = fleet.rows.rowsOf(leaseTable);
        former!.clock.freeze();
        await fleet.clock.advance(3_000);
        fleet.rows.restore(copy, rewrittenTables);
        await recoverUntilGranter(fleet);
        await fleet.clock.advance(15_000);
        // A renewal that the former holder sent before is carried out now.
        const [current] = fleet.rows.rowsOf(leaseTable);
        const answer = fleet.rows.apply({
          conditions: [{
            table: leaseTable,
            key: leaseKey,
            version: { era: 1, number: current!.version },
          }],
          writes: [{ table: leaseTable, key: leaseKey, value: stale!.value }],
        });
        assert.is(answer.isApplied, true);
        const [first] = fleet.servers.servers.values();
        fleet.register({ ...first!.entry, isDraining: true });
        former!.clock.thaw();
        await assertRecovered(fleet);
      }
    });
  });

  describe("beside another disruption", () => {
    // Guards against two holders of a key after a move that the store has lost.
    it("moves no key that was moved in the lost seconds while the granter is lost", async () => {
      for (let seed = 21; seed <= 26; seed++) {
        const fleet = await startFleet(seed);
        const [granter] = fleet.granters();
        await drill(fleet, { copyAgeMs: 2_500, awayMs: 500 }, async () => {
          const [first] = fleet.servers.servers.values();
          fleet.register({ ...first!.entry, isDraining: true });
          await fleet.clock.advance(300);
        });
        granter!.clock.freeze();
        await recover(fleet);
        granter!.clock.thaw();
        await assertRecovered(fleet);
      }
    });

    // Guards against a move between release and grant that nobody finishes.
    it("finishes a move that was undone between release and grant", async () => {
      const fleet = await startFleet(27);
      fleet.servers.runningMs = 700;
      await drill(fleet, { copyAgeMs: 300, awayMs: 400 }, async () => {
        const [first] = fleet.servers.servers.values();
        fleet.register({ ...first!.entry, isDraining: true });
        await fleet.clock.advance(300);
      });
      await assertRecovered(fleet);
    });

    // Guards against a process without memory that trusts an older copy.
    it("waits holds out when all daemons restart inside the drill", async () => {
      for (let seed = 31; seed <= 36; seed++) {
        const fleet = await startFleet(seed);
        const copy = fleet.rows.takeCopy();
        const [first] = fleet.servers.servers.values();
        fleet.register({ ...first!.entry, isDraining: true });
        await fleet.clock.advance(1_500);
        for (const { clock } of fleet.daemons) clock.freeze();
        fleet.rows.restore(copy, rewrittenTables)();
        for (let i = 0; i < 2; i++) await fleet.addDaemon();
        await recover(fleet);
        assert.equal(fleet.servers.violations, [], `seed ${seed}`);
        assert.is(fleet.servers.heldFraction(), 1);
        for (const { clock } of fleet.daemons) {
          if (clock.isFrozen()) clock.thaw();
        }
        await assertRecovered(fleet);
      }
    });

    for (let seed = 101; seed <= 124; seed++) {
      it(`keeps one holder of each key under random drills (seed ${seed})`, async () => {
        const random = new SeededRandomSource(seed);
        const fleet = await startFleet(seed, { daemonCount: 4 });
        fleet.servers.lateGrantFraction = seed % 3 === 0 ? 0.1 : 0;
        for (let i = 0; i < 2; i++) {
          const [granter] = fleet.granters();
          const fault = granter === undefined ? 0 : random.nextInt(5);
          if (random.nextInt(3) === 0) fleet.rows.lateWriteMs = 2_500;
          await drill(fleet, {
            copyAgeMs: 200 + random.nextInt(5_000),
            awayMs: 100 + random.nextInt(5_000),
            rewriteDelayMs: random.nextInt(2_000),
          }, async () => {
            if (random.nextInt(2) === 0) fleet.addServer();
            await fleet.clock.advance(random.nextInt(1_500));
            if (fault === 1) granter!.clock.freeze();
            if (fault === 2) fleet.rows.cutOff.add(granter!.id);
            if (fault === 3) await fleet.addDaemon();
          });
          fleet.rows.lateWriteMs = 0;
          await fleet.clock.advance(random.nextInt(6_000));
          if (granter?.clock.isFrozen()) granter.clock.thaw();
          fleet.rows.cutOff.clear();
        }
        await assertRecovered(fleet);
      });
    }
  });

  describe("and the row of the lease is odd", () => {
    // Guards against a record of an earlier release that counts as undone at each start.
    it("trusts a record without an era while no era has begun", async () => {
      const fleet = new GranterFleet(31);
      fleet.rows.put(
        leaseTable,
        leaseKey,
        encodeJson({ holder: "x", expiresAtStoreMs: 0 }),
      );
      fleet.addServer();
      await fleet.addDaemon();
      await fleet.clock.advance(settleMs);
      assert.is(fleet.servers.heldFraction(), 1);
      await fleet.stop();
    });
  });
});

async function recoverUntilGranter(fleet: GranterFleet): Promise<void> {
  for (let ms = 0; ms < 20_000; ms += 250) {
    if (fleet.granters().some(({ clock }) => !clock.isFrozen())) return;
    for (const { kernel } of fleet.daemons) {
      kernel.get(ServiceName.KeyGranter).suspectLeaseHolder();
    }
    await fleet.clock.advance(250);
  }
}
