/**
 * Measures the cost of sharing allowances, on virtual time: calls between daemons
 * and bytes of their messages (without HTTP headers) for each daemon, by the
 * number of active customers, and the memory of an account at an entry and of a
 * ledger at a home.
 */
import { fileURLToPath } from "node:url";
import { ServiceName } from "../src/kernel/service_name.ts";
import { AllowanceLedger } from "../src/services/admission/allowance_ledger.ts";
import type { AccountReport } from "../src/services/admission/allowance_messages.ts";
import { EntryAccount } from "../src/services/admission/entry_account.ts";
import { AllowanceLoad } from "../src/testing/allowance_load.ts";
import { settleWithin, TestFleet } from "../src/testing/test_fleet.ts";
import { createListTexts } from "../src/testing/test_lists.ts";
import { RequestClass, WindowKind } from "../src/types/enums.ts";

const seed = 81;
const measuredMs = 10_000;
const requestsPerDaemonSecond = 20;
const fleetSizes: readonly number[] = [12, 24];
const customerCounts: readonly number[] = [0, 1, 4];

interface Traffic {
  readonly callsPerDaemonSecond: number;
  readonly bytesPerDaemonSecond: number;
}

/** Spreads the callers of each customer evenly over the daemons and counts all control traffic. */
async function measureTraffic(
  daemonCount: number,
  customerCount: number,
): Promise<Traffic> {
  const fleet = new TestFleet({ seed, daemonCount, serverCount: 1 });
  await fleet.start();
  const customers = Array.from(
    { length: Math.max(1, customerCount) },
    (_, index) => `customer-${index}`,
  );
  const lists = fleet.daemons[0]!.kernel.get(ServiceName.Lists);
  const texts = createListTexts({
    burstCount: 100_000,
    sustainedCount: 1_000_000,
  }, customers);
  const applied = lists.apply(texts, { baseVersion: 0, author: "bench" });
  (await settleWithin(fleet.clock, applied, 5_000))._unsafeUnwrap();
  await fleet.clock.advance(3_000);
  const before = countTraffic(fleet);
  const load = new AllowanceLoad(fleet, seed);
  if (customerCount === 0) await fleet.clock.advance(measuredMs);
  else {
    let turn = 0;
    await load.run({
      durationMs: measuredMs,
      ratePerSecond: requestsPerDaemonSecond * daemonCount * customerCount,
      chooseCustomer: () => customers[turn++ % customers.length]!,
      chooseDaemon: (fraction) =>
        fleet.daemons[Math.floor(fraction * daemonCount)],
    });
  }
  const after = countTraffic(fleet);
  await fleet.stop();
  const daemonSeconds = daemonCount * measuredMs / 1_000;
  return {
    callsPerDaemonSecond: (after.callCount - before.callCount) /
      daemonSeconds,
    bytesPerDaemonSecond: (after.byteCount - before.byteCount) / daemonSeconds,
  };
}

function countTraffic({ network }: TestFleet) {
  return {
    callCount: sum(network.callCounts),
    byteCount: sum(network.byteCounts),
  };
}

const windows = [
  { kind: WindowKind.Burst, count: 1_000, windowMs: 1_000, listLine: 1 },
  { kind: WindowKind.Sustained, count: 9_000, windowMs: 10_000, listLine: 2 },
];
const sampleCount = 5_000;

/** Mean number of bytes of an object, over `sampleCount` objects. */
function measureMemory(create: (index: number) => unknown): number {
  globalThis.gc?.();
  const before = process.memoryUsage();
  const kept = Array.from({ length: sampleCount }, (_, i) => create(i));
  globalThis.gc?.();
  const after = process.memoryUsage();
  const bytes = after.heapUsed + after.arrayBuffers - before.heapUsed -
    before.arrayBuffers;
  return kept.length === 0 ? 0 : bytes / sampleCount;
}

function createAccount(index: number): EntryAccount {
  const key = {
    customer: `customer-${index}`,
    requestClass: RequestClass.LiveRead,
  };
  const limits = { key, plan: "basic", planRank: 1, windows };
  const account = new EntryAccount(limits, 0);
  account.noteDemand(limits, 0);
  return account;
}

function createLedger(index: number, memberCount: number): AllowanceLedger {
  const key = {
    customer: `customer-${index}`,
    requestClass: RequestClass.LiveRead,
  };
  const ledger = new AllowanceLedger(key, 0);
  for (let member = 0; member < memberCount; member++) {
    const report: AccountReport = {
      daemonId: `daemon-${member}`,
      key,
      openedAtMs: 0,
      sequence: 1,
      usedTotal: 1,
      recentCount: 1,
      heldCount: 0,
      wantedCount: 1,
      uses: [],
    };
    ledger.exchange(report, {
      nowMs: 10,
      limits: windows,
      leaseDurationMs: 1_000,
    });
  }
  return ledger;
}

function sum(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((total, count) => total + count, 0);
}

async function main(): Promise<void> {
  console.log("daemons customers  msg/daemon/s  bytes/daemon/s");
  for (const daemonCount of fleetSizes) {
    for (const customerCount of customerCounts) {
      const traffic = await measureTraffic(daemonCount, customerCount);
      console.log([
        String(daemonCount).padStart(7),
        String(customerCount).padStart(9),
        traffic.callsPerDaemonSecond.toFixed(1).padStart(13),
        traffic.bytesPerDaemonSecond.toFixed(0).padStart(15),
      ].join(" "));
    }
  }
  const accountBytes = measureMemory(createAccount);
  const smallBytes = measureMemory((index) => createLedger(index, 12));
  const bytesPerMember = (measureMemory((index) => createLedger(index, 24)) -
    smallBytes) / 12;
  console.log(`account at an entry: ${accountBytes.toFixed(0)} bytes`);
  console.log(`ledger with 12 members: ${smallBytes.toFixed(0)} bytes`);
  console.log(`each further member: ${bytesPerMember.toFixed(0)} bytes`);
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main();
