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

function createContextAt(nowMs: number) {
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
  it("counts an event for its window and at most one bucket longer", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 3_000 }), { minLength: 1 }),
        fc.integer({ min: 3_000, max: 5_000 }),
        (instants, nowMs) => {
          const window = new SlidingWindow(1_280);
          instants.sort((a, b) => a - b);
          for (const atMs of instants) window.add(atMs, 1);
          const countWithin = (durationMs: number) =>
            instants.filter((atMs) => atMs > nowMs - durationMs).length;
          const sum = window.sum(nowMs);
          assert.ok(
            sum >= countWithin(1_280),
            "an event left the window too early",
          );
          assert.ok(
            sum <= countWithin(1_300),
            "an event left the window too late",
          );
        },
      ),
      { seed: 7, numRuns: 300 },
    );
  });

  it("returns the time until the sum falls to a limit", () => {
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
      const firstGrant = ledger.exchange(
        createReport({ wantedCount: 30 }),
        createContextAt(0),
      );
      const secondGrant = ledger.exchange(
        createReport({ daemonId: "daemon-b", wantedCount: 30 }),
        createContextAt(0),
      );
      assert.is(firstGrant.grantedCount, 30);
      assert.is(secondGrant.grantedCount, 20);
      assert.is(secondGrant.windowKind, WindowKind.Burst);
    });

    it("are charged once when their holder stops reporting", () => {
      const ledger = new AllowanceLedger(key, 0);
      ledger.exchange(createReport({ wantedCount: 30 }), createContextAt(0));
      const otherReport = createReport({
        daemonId: "daemon-b",
        wantedCount: 100,
      });
      ledger.exchange(
        { ...otherReport, wantedCount: 0 },
        createContextAt(1_500),
      );
      assert.is(
        ledger.toCopy(1_500).windows?.[1]?.counts.reduce((a, b) => a + b),
        30,
      );
      const lateReport = createReport({ sequence: 2, usedTotal: 10 });
      ledger.exchange(lateReport, createContextAt(1_600));
      assert.is(
        ledger.toCopy(1_600).windows?.[1]?.counts.reduce((a, b) => a + b),
        30,
      );
    });
  });

  describe("a report", () => {
    it("changes nothing when it arrives twice or out of order", () => {
      const ledger = new AllowanceLedger(key, 0);
      const report = createReport({
        sequence: 5,
        usedTotal: 40,
        recentCount: 40,
      });
      ledger.exchange(report, createContextAt(10));
      ledger.exchange(report, createContextAt(20));
      ledger.exchange(
        { ...report, sequence: 4, usedTotal: 9 },
        createContextAt(30),
      );
      const otherReport = createReport({
        daemonId: "daemon-b",
        wantedCount: 50,
      });
      assert.is(
        ledger.exchange(otherReport, createContextAt(40)).grantedCount,
        10,
      );
    });

    it("does not reduce the use when the account was opened again", () => {
      const ledger = new AllowanceLedger(key, 0);
      ledger.exchange(
        createReport({ sequence: 9, usedTotal: 40, recentCount: 40 }),
        createContextAt(10),
      );
      ledger.exchange(createReport({ openedAtMs: 15 }), createContextAt(20));
      const otherReport = createReport({
        daemonId: "daemon-b",
        wantedCount: 50,
      });
      assert.is(
        ledger.exchange(otherReport, createContextAt(40)).grantedCount,
        10,
      );
    });
  });

  describe("a copy", () => {
    it("transfers use, its age and leases to another daemon", () => {
      const ledger = new AllowanceLedger(key, 0);
      ledger.exchange(
        createReport({ usedTotal: 40, recentCount: 40, wantedCount: 5 }),
        createContextAt(10),
      );
      const successor = new AllowanceLedger(key, 900);
      successor.merge(ledger.toCopy(900), createContextAt(900));
      const otherReport = createReport({
        daemonId: "daemon-b",
        wantedCount: 50,
      });
      assert.is(
        successor.exchange(otherReport, createContextAt(900)).grantedCount,
        5,
      );
      const laterReport = { ...otherReport, sequence: 2 };
      const grant = successor.exchange(laterReport, createContextAt(1_030));
      assert.is(grant.grantedCount, 45, "the use at 10 ms has left the window");
    });

    it("does not reduce the use when it is older than the ledger", () => {
      const ledger = new AllowanceLedger(key, 0);
      ledger.exchange(createReport({ wantedCount: 1 }), createContextAt(0));
      const olderCopy = ledger.toCopy(5);
      ledger.exchange(
        createReport({ sequence: 2, usedTotal: 45, recentCount: 45 }),
        createContextAt(10),
      );
      ledger.merge(olderCopy, createContextAt(20));
      const otherReport = createReport({
        daemonId: "daemon-b",
        wantedCount: 50,
      });
      assert.is(
        ledger.exchange(otherReport, createContextAt(30)).grantedCount,
        5,
      );
    });
  });
});
