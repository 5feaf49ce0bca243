import * as assert from "uvu/assert";
import { MessageCode } from "../../diagnostics/messages.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { AllowanceLoad } from "../../testing/allowance_load.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  settleWithin,
  type TestDaemon,
  TestFleet,
} from "../../testing/test_fleet.ts";
import { createListTexts } from "../../testing/test_lists.ts";
import { AttemptOutcome, RequestClass } from "../../types/enums.ts";
import type { RoutedRequest } from "../../types/types.ts";

async function startFleet(daemonCount: number, seed: number) {
  const fleet = new TestFleet({ seed, daemonCount, serverCount: 1 });
  await fleet.start();
  return fleet;
}

type Allowance = Parameters<typeof createListTexts>[0];

async function applyAllowance(
  fleet: TestFleet,
  allowance: Allowance,
  baseVersion = 0,
): Promise<void> {
  const applied = fleet.daemons[0]!.kernel.get(ServiceName.Lists)
    .apply(createListTexts(allowance), { baseVersion, author: "ana" });
  (await settleWithin(fleet.clock, applied, 5_000))._unsafeUnwrap();
  await fleet.clock.advance(3_000);
}

function admit(
  fleet: TestFleet,
  daemon: TestDaemon,
  parts: Partial<RoutedRequest> = {},
) {
  const { signal } = new AbortController();
  const admitted = daemon.kernel.get(ServiceName.Admission)
    .admit(fleet.createRequest(parts), signal);
  return settleWithin(fleet.clock, admitted, 1_000);
}

/** Sends requests to all daemons in turn; returns the number admitted. */
async function countAdmitted(
  fleet: TestFleet,
  options: { requestCount: number; customer?: string },
): Promise<number> {
  const { requestCount, customer = "customer" } = options;
  let admittedCount = 0;
  for (let index = 0; index < requestCount; index++) {
    const daemon = fleet.daemons[index % fleet.daemons.length]!;
    const admitted = await admit(fleet, daemon, { customer });
    if (admitted.isOk()) admittedCount += 1;
  }
  return admittedCount;
}

const createEvenChooser = (fleet: TestFleet) => (fraction: number) =>
  fleet.daemons[Math.floor(fraction * fleet.daemons.length)];

describe("SharedAdmission", () => {
  describe("a refusal", () => {
    it("names the limit, line, retry delay and outcome", async () => {
      const fleet = await startFleet(3, 41);
      await applyAllowance(fleet, { burstCount: 5, burstWindowMs: 5_000 });
      assert.is(await countAdmitted(fleet, { requestCount: 12 }), 5);
      const refused = await admit(fleet, fleet.daemons[1]!);
      const error = refused._unsafeUnwrapErr();
      assert.is(error.code, MessageCode.LimitExceeded);
      assert.is(error.outcome, AttemptOutcome.NotSent);
      assert.is(
        error.limitName,
        "customer/live-read/burst (plan basic, allowances.yaml:7)",
      );
      await fleet.clock.advance(error.retryAfterMs! + 50);
      assert.ok((await admit(fleet, fleet.daemons[2]!)).isOk());
      await fleet.stop();
    });

    it("distinguishes missing lists, customers and allowances", async () => {
      const fleet = await startFleet(2, 42);
      const [first] = fleet.daemons as [TestDaemon];
      const withoutLists = await admit(fleet, first);
      assert.is(withoutLists._unsafeUnwrapErr().code, MessageCode.ListsMissing);
      await applyAllowance(fleet, {});
      const unknownCustomer = await admit(fleet, first, {
        customer: "constructor",
      });
      assert.is(
        unknownCustomer._unsafeUnwrapErr().code,
        MessageCode.CustomerUnknown,
      );
      const archive = await admit(fleet, first, {
        requestClass: RequestClass.Archive,
      });
      const error = archive._unsafeUnwrapErr();
      assert.is(error.code, MessageCode.LimitExceeded);
      assert.match(error.message, "customer/archive (plan basic has no");
      await fleet.stop();
    });
  });

  describe("a refund", () => {
    it("returns the charge to the allowance once", async () => {
      const fleet = await startFleet(3, 43);
      await applyAllowance(fleet, { burstCount: 2, burstWindowMs: 5_000 });
      const ticket = (await admit(fleet, fleet.daemons[0]!))._unsafeUnwrap();
      assert.is(await countAdmitted(fleet, { requestCount: 3 }), 1);
      ticket.refund();
      ticket.refund();
      await fleet.clock.advance(300);
      assert.is(await countAdmitted(fleet, { requestCount: 6 }), 1);
      await fleet.stop();
    });
  });

  describe("a customer above its allowance", () => {
    it("causes no refusals for a customer within its own", async () => {
      const fleet = await startFleet(3, 44);
      await applyAllowance(fleet, { burstCount: 50, sustainedCount: 300 });
      const excessiveLoad = new AllowanceLoad(fleet, 1);
      const permittedLoad = new AllowanceLoad(fleet, 2);
      const shape = {
        durationMs: 20_000,
        chooseDaemon: createEvenChooser(fleet),
      };
      const excessiveRun = excessiveLoad.run({ ...shape, ratePerSecond: 300 });
      const permittedRun = permittedLoad.run({
        ...shape,
        ratePerSecond: 20,
        customer: "other",
      });
      await Promise.all([excessiveRun, permittedRun]);
      await fleet.clock.advance(500);
      assert.ok(
        excessiveLoad.admittedAtMs.length <= 600,
        "more requests admitted than allowed",
      );
      assert.ok(excessiveLoad.refusals.length > 4_000);
      assert.is(permittedLoad.refusals.length, 0);
      await fleet.stop();
    });
  });

  describe("a change of the allowance", () => {
    it("is in force on every daemon within 3 s", async () => {
      const fleet = await startFleet(4, 45);
      await applyAllowance(fleet, { burstCount: 10, burstWindowMs: 2_000 });
      assert.is(await countAdmitted(fleet, { requestCount: 20 }), 10);
      await applyAllowance(fleet, { burstCount: 30, burstWindowMs: 2_000 }, 1);
      assert.is(await countAdmitted(fleet, { requestCount: 60 }), 30);
      await fleet.stop();
    });
  });

  describe("an allowance while the platform is down", () => {
    it("is enforced over the whole fleet", async () => {
      const fleet = await startFleet(4, 46);
      await applyAllowance(fleet, { burstCount: 10, burstWindowMs: 2_000 });
      fleet.platform.fault = { ...fleet.platform.fault, isDown: true };
      await fleet.clock.advance(60_000);
      assert.is(await countAdmitted(fleet, { requestCount: 40 }), 10);
      await fleet.stop();
    });
  });

  describe("status", () => {
    it("shows the use through this daemon", async () => {
      const fleet = await startFleet(2, 47);
      await applyAllowance(fleet, { burstCount: 10, burstWindowMs: 2_000 });
      await admit(fleet, fleet.daemons[0]!);
      const [burst] = fleet.daemons[0]!.kernel.get(ServiceName.Admission)
        .status();
      assert.is(burst!.usedCount, 1);
      assert.is(burst!.allowedCount, 10);
      await fleet.stop();
    });
  });
});
