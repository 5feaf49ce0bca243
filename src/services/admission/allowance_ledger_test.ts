import fc from "fast-check";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { RequestClass, WindowKind } from "../../types/enums.ts";
import type { AllowanceWindow } from "../../types/types.ts";
import { AllowanceLedger } from "./allowance_ledger.ts";
import type { AccountReport } from "./allowance_messages.ts";
import { SlidingWindow } from "./sliding_window.ts";

const key = { customer: "farms", requestClass: RequestClass.LiveRead };
const limits: readonly AllowanceWindow[] = [
  { kind: WindowKind.Burst, count: 50, windowMs: 1_000, listLine: 1 },
  { kind: WindowKind.Sustained, count: 100, windowMs: 10_000, listLine: 2 },
];

function termsAt(nowMs: number) {
  return { nowMs, limits, leaseDurationMs: 1_000 };
}

function createReport(parts: Partial<AccountReport>): AccountReport {
  return {
    daemonId: "daemon-a",
    key,
    openedAtMs: 0,
    sequence: 1,
    usedTotal: 0,
    recentCount: 0,
    heldCount: 0,
    wantedCount: 0,
    uses: [],
    ...parts,
  };
}

describe("SlidingWindow", () => {
  it("counts each event for its window and at most a bucket longer", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 3_000 }), { minLength: 1 }),
        fc.integer({ min: 3_000, max: 5_000 }),
        (instants, nowMs) => {
          const window = new SlidingWindow(1_280);
          instants.sort((a, b) => a - b);
          for (const atMs of instants) window.add(atMs, 1);
          const within = (spanMs: number) =>
            instants.filter((atMs) => atMs > nowMs - spanMs).length;
          const sum = window.sum(nowMs);
          assert.ok(sum >= within(1_280), "counts too few");
          assert.ok(sum <= within(1_300), "counts too many");
        },
      ),
      { seed: 7, numRuns: 300 },
    );
  });

  it("tells when there is room again", () => {
    const window = new SlidingWindow(1_280);
    window.add(0, 5);
    window.add(640, 5);
    const waitMs = window.msUntilAtMost(5, 700);
    assert.is(window.sum(700 + waitMs - 1), 10);
    assert.is(window.sum(700 + waitMs), 5);
  });
});

describe("AllowanceLedger", () => {
  describe("leases", () => {
    it("never exceed what is free in any window", () => {
      const ledger = new AllowanceLedger(key, 0);
      const first = ledger.exchange(
        createReport({ wantedCount: 30 }),
        termsAt(0),
      );
      const second = ledger.exchange(
        createReport({ daemonId: "daemon-b", wantedCount: 30 }),
        termsAt(0),
      );
      assert.is(first.grantedCount, 30);
      assert.is(second.grantedCount, 20);
      assert.is(second.windowKind, WindowKind.Burst);
    });

    it("are charged when their holder falls silent, and only once", () => {
      const ledger = new AllowanceLedger(key, 0);
      ledger.exchange(createReport({ wantedCount: 30 }), termsAt(0));
      const other = createReport({ daemonId: "daemon-b", wantedCount: 100 });
      ledger.exchange({ ...other, wantedCount: 0 }, termsAt(1_500));
      assert.is(
        ledger.toCopy(1_500).windows?.[1]?.counts.reduce((a, b) => a + b),
        30,
      );
      const late = createReport({ sequence: 2, usedTotal: 10 });
      ledger.exchange(late, termsAt(1_600));
      assert.is(
        ledger.toCopy(1_600).windows?.[1]?.counts.reduce((a, b) => a + b),
        30,
      );
    });
  });

  describe("a report", () => {
    it("that comes twice or late changes nothing", () => {
      const ledger = new AllowanceLedger(key, 0);
      const report = createReport({
        sequence: 5,
        usedTotal: 40,
        recentCount: 40,
      });
      ledger.exchange(report, termsAt(10));
      ledger.exchange(report, termsAt(20));
      ledger.exchange({ ...report, sequence: 4, usedTotal: 9 }, termsAt(30));
      const wish = createReport({ daemonId: "daemon-b", wantedCount: 50 });
      assert.is(ledger.exchange(wish, termsAt(40)).grantedCount, 10);
    });

    it("of an account opened anew does not take use back", () => {
      const ledger = new AllowanceLedger(key, 0);
      ledger.exchange(
        createReport({ sequence: 9, usedTotal: 40, recentCount: 40 }),
        termsAt(10),
      );
      ledger.exchange(createReport({ openedAtMs: 15 }), termsAt(20));
      const wish = createReport({ daemonId: "daemon-b", wantedCount: 50 });
      assert.is(ledger.exchange(wish, termsAt(40)).grantedCount, 10);
    });
  });

  describe("a copy", () => {
    it("carries use, leases and their age to another daemon", () => {
      const ledger = new AllowanceLedger(key, 0);
      ledger.exchange(
        createReport({ usedTotal: 40, recentCount: 40, wantedCount: 5 }),
        termsAt(10),
      );
      const heir = new AllowanceLedger(key, 900);
      heir.merge(ledger.toCopy(900), termsAt(900));
      const wish = createReport({ daemonId: "daemon-b", wantedCount: 50 });
      assert.is(heir.exchange(wish, termsAt(900)).grantedCount, 5);
      const later = { ...wish, sequence: 2 };
      const grant = heir.exchange(later, termsAt(1_030));
      assert.is(grant.grantedCount, 45, "the use of instant 10 has left");
    });

    it("that is older takes nothing back", () => {
      const ledger = new AllowanceLedger(key, 0);
      ledger.exchange(createReport({ wantedCount: 1 }), termsAt(0));
      const old = ledger.toCopy(5);
      ledger.exchange(
        createReport({ sequence: 2, usedTotal: 45, recentCount: 45 }),
        termsAt(10),
      );
      ledger.merge(old, termsAt(20));
      const wish = createReport({ daemonId: "daemon-b", wantedCount: 50 });
      assert.is(ledger.exchange(wish, termsAt(30)).grantedCount, 5);
    });
  });
});
