/**
 * Scenarios with one customer that exceeds its allowance on a fleet of 12
 * daemons, with a fault at half-time. Used by the tests of admission and by the
 * bench that compares the implementations of `AllowanceSharing`.
 */
import { ServiceName } from "../kernel/service_name.ts";
import type { AllowanceSharing } from "../services/admission/allowance_sharing.ts";
import { createHashFunction } from "../hashing/key_hash.ts";
import { rankDaemons } from "../services/admission/home_ranking.ts";
import { assertNever } from "../types/errors.ts";
import type { DaemonId } from "../types/types.ts";
import { AllowanceLoad, measureUse, type UseError } from "./allowance_load.ts";
import { settleWithin, type TestDaemon, TestFleet } from "./test_fleet.ts";
import { createListTexts } from "./test_lists.ts";

/** The fault at half-time. */
export enum AllowanceFault {
  None = "none",
  HotEntryLost = "hot-entry-lost",
  HomeLost = "home-lost",
  /** The lost daemon has most callers and is the customer's home. */
  HotHomeLost = "hot-home-lost",
  HomeFrozen = "home-frozen",
  /** A daemon joins and becomes the customer's home. */
  DaemonJoins = "daemon-joins",
  HotEntryCut = "hot-entry-cut",
  FleetSplit = "fleet-split",
}

/** How callers distribute their requests over the daemons. */
export enum CallerSpread {
  /** 90% to one daemon, and the rest evenly. */
  Skewed = "skewed",
  Even = "even",
}

/** The parameters of one run. */
export interface AllowanceScenario {
  readonly seed: number;
  readonly createSharing: () => AllowanceSharing;
  readonly fault: AllowanceFault;
  readonly spread: CallerSpread;
  /** Demand as a multiple of the allowance. */
  readonly demandRatio: number;
  /** Requests allowed in 10 s. */
  readonly allowedCount: number;
}

/** The result of one run. */
export interface AllowanceOutcome extends UseError {
  readonly admittedCount: number;
  readonly callsPerDaemonSecond: number;
}

const daemonCount = 12;
const windowMs = 10_000;
const skewedFraction = 0.9;
/** The measurement excludes this time at the start, because the unused allowance permits a burst in the first window. */
const warmUpMs = 12_000;
const halfDurationMs = 30_000;
/** Time until the platform's list of VMs shows a loss. */
const directoryLagMs = 2_000;
const millisecondsPerSecond = 1_000;

/** Runs one scenario on virtual time. */
export async function runAllowanceScenario(
  scenario: AllowanceScenario,
): Promise<AllowanceOutcome> {
  const { seed, createSharing, allowedCount } = scenario;
  const fleet = new TestFleet({
    seed,
    daemonCount,
    serverCount: 1,
    createSharing,
  });
  await fleet.start();
  const customer = await findCustomer(homeIdOf(scenario.fault));
  await acceptLists(fleet, { customer, allowedCount });
  const load = new AllowanceLoad(fleet, seed);
  const shape = {
    customer,
    ratePerSecond: allowedCount * scenario.demandRatio /
      (windowMs / millisecondsPerSecond),
    chooseDaemon: createDaemonChooser(fleet, scenario.spread),
  };
  const startedAtMs = fleet.clock.nowMs();
  const callCountBefore = countCalls(fleet);
  await load.run({ ...shape, durationMs: halfDurationMs });
  const endFault = await injectFault(fleet, scenario.fault);
  await load.run({ ...shape, durationMs: directoryLagMs });
  endFault();
  await load.run({ ...shape, durationMs: halfDurationMs - directoryLagMs });
  const endedAtMs = fleet.clock.nowMs();
  const callCount = countCalls(fleet) - callCountBefore;
  await fleet.stop();
  const durationSeconds = (endedAtMs - startedAtMs) / millisecondsPerSecond;
  return {
    ...measureUse(load.admittedAtMs, {
      fromMs: startedAtMs + warmUpMs,
      toMs: endedAtMs,
      windowMs,
      allowedCount,
    }),
    admittedCount: load.admittedAtMs.length,
    callsPerDaemonSecond: callCount / durationSeconds / daemonCount,
  };
}

async function acceptLists(
  fleet: TestFleet,
  { customer, allowedCount }: {
    readonly customer: string;
    readonly allowedCount: number;
  },
): Promise<void> {
  const lists = fleet.daemons[0]!.kernel.get(ServiceName.Lists);
  const texts = createListTexts({
    burstCount: Math.ceil(allowedCount / 4),
    sustainedCount: allowedCount,
    sustainedWindowMs: windowMs,
  }, [customer]);
  const applied = lists.apply(texts, { baseVersion: 0, author: "ana" });
  (await settleWithin(fleet.clock, applied, 5_000))._unsafeUnwrap();
  await fleet.clock.advance(3_000);
}

function createDaemonChooser(fleet: TestFleet, spread: CallerSpread) {
  return (fraction: number): TestDaemon | undefined => {
    const { daemons } = fleet;
    const hot = daemons[0];
    if (spread === CallerSpread.Even) {
      return daemons[Math.floor(fraction * daemons.length)];
    }
    if (fraction < skewedFraction) return hot;
    const rest = (fraction - skewedFraction) / (1 - skewedFraction);
    return daemons[Math.floor(rest * daemons.length)];
  };
}

/** Returns the daemon that must be the customer's home for a fault; the first daemon has most callers. */
function homeIdOf(fault: AllowanceFault): DaemonId {
  if (fault === AllowanceFault.HotHomeLost) return daemonIdOf(0);
  return daemonIdOf(fault === AllowanceFault.DaemonJoins ? daemonCount : 3);
}

/** Finds a customer whose home is the given daemon. */
async function findCustomer(homeId: DaemonId): Promise<string> {
  const hash = await createHashFunction();
  const daemons = Array.from({ length: daemonCount + 1 }, (_, index) => ({
    daemonId: daemonIdOf(index),
  }));
  for (let index = 0;; index++) {
    const customer = `customer-${index}`;
    if (rankDaemons(hash, { customer, daemons })[0]?.daemonId === homeId) {
      return customer;
    }
  }
}

function daemonIdOf(index: number): DaemonId {
  return `daemon-${String(index).padStart(3, "0")}`;
}

/**
 * Injects the fault. The returned function removes a lost daemon from the list
 * of VMs or ends a freeze; it is called after `directoryLagMs`.
 */
async function injectFault(
  fleet: TestFleet,
  fault: AllowanceFault,
): Promise<() => void> {
  const hot = fleet.daemons[0]!;
  const home = fleet.daemons
    .find(({ daemonId }) => daemonId === homeIdOf(fault));
  switch (fault) {
    case AllowanceFault.None:
      return () => {};
    case AllowanceFault.HotEntryLost:
    case AllowanceFault.HotHomeLost:
      fleet.kill(hot);
      return () => fleet.removeVm(hot.daemonId);
    case AllowanceFault.HomeLost:
      fleet.kill(home!);
      return () => fleet.removeVm(home!.daemonId);
    case AllowanceFault.HomeFrozen:
      home!.clock.freeze();
      return () => home!.clock.thaw();
    case AllowanceFault.DaemonJoins:
      await fleet.addDaemon();
      return () => {};
    case AllowanceFault.HotEntryCut:
      cutLinksBetween(fleet, [hot], fleet.daemons.slice(1));
      return () => {};
    case AllowanceFault.FleetSplit:
      cutLinksBetween(
        fleet,
        fleet.daemons.slice(0, daemonCount / 2),
        fleet.daemons.slice(daemonCount / 2),
      );
      return () => {};
    default:
      return assertNever(fault);
  }
}

function cutLinksBetween(
  fleet: TestFleet,
  left: readonly TestDaemon[],
  right: readonly TestDaemon[],
): void {
  for (const from of left) {
    for (const to of right) fleet.network.cut(from.address, to.address);
  }
}

function countCalls(fleet: TestFleet): number {
  return [...fleet.network.callCounts.values()]
    .reduce((sum, count) => sum + count, 0);
}
