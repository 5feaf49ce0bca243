/**
 * Injects each kind of loss on virtual time and prints how long keys were
 * unavailable: the longest time in which no backend server started a request
 * for some key, over several seeds. Requests for each key arrive every 100 ms,
 * and each figure includes that interval.
 */
import { fileURLToPath } from "node:url";
import { findCoordinator, findHome } from "../src/testing/fleet_queries.ts";
import { NoRebalancePlacement } from "../src/testing/no_rebalance_placement.ts";
import { KeyTraffic } from "../src/testing/key_traffic.ts";
import { type TestDaemon, TestFleet } from "../src/testing/test_fleet.ts";

const seeds: readonly number[] = [71, 72, 73, 74, 75];
const daemonCount = 12;
const serverCount = 24;
const warmUpMs = 1_000;
const observedMs = 8_000;

/** One kind of loss. */
interface Loss {
  readonly title: string;
  readonly inject: (fleet: TestFleet, traffic: KeyTraffic) => void;
}

const losses: readonly Loss[] = [
  { title: "nothing", inject: () => {} },
  {
    title: "coordinator killed",
    inject: (fleet) => fleet.kill(findCoordinator(fleet)),
  },
  { title: "home killed", inject: (fleet) => fleet.kill(findHome(fleet)) },
  {
    title: "coordinator and home killed",
    inject: (fleet) => {
      const home = findHome(fleet);
      fleet.kill(findCoordinator(fleet));
      fleet.kill(home);
    },
  },
  {
    title: "home frozen",
    inject: (fleet, traffic) => freeze(findHome(fleet), traffic),
  },
  {
    title: "coordinator frozen",
    inject: (fleet, traffic) => freeze(findCoordinator(fleet), traffic),
  },
  {
    title: "coordinator without the store",
    inject: (fleet) =>
      void fleet.platform.cutOff.add(findCoordinator(fleet).daemonId),
  },
  {
    title: "coordinator without peers",
    inject: (fleet, traffic) =>
      cutFromPeers(fleet, { daemon: findCoordinator(fleet), traffic }),
  },
  {
    title: "home without peers",
    inject: (fleet, traffic) =>
      cutFromPeers(fleet, { daemon: findHome(fleet), traffic }),
  },
  {
    title: "backend server killed",
    inject: (fleet) => {
      fleet.backends.servers.get("server-1")!.behaviour.isAlive = false;
    },
  },
  {
    title: "store down",
    inject: (fleet) => {
      fleet.platform.fault = { ...fleet.platform.fault, isDown: true };
    },
  },
];

function freeze(daemon: TestDaemon, traffic: KeyTraffic): void {
  traffic.exclude(daemon);
  daemon.clock.freeze();
}

function cutFromPeers(
  fleet: TestFleet,
  { daemon, traffic }: {
    readonly daemon: TestDaemon;
    readonly traffic: KeyTraffic;
  },
): void {
  traffic.exclude(daemon);
  for (const other of fleet.daemons) {
    if (other !== daemon) fleet.network.cut(daemon.address, other.address);
  }
}

/** The effect of a loss under one seed. */
interface Recovery {
  readonly pauseMs: number;
  readonly violationCount: number;
}

async function measureRecovery(loss: Loss, seed: number): Promise<Recovery> {
  const fleet = new TestFleet({
    seed,
    daemonCount,
    serverCount,
    settings: { placement: new NoRebalancePlacement() },
  });
  await fleet.start();
  const traffic = new KeyTraffic(fleet, { keyCount: 48 });
  await traffic.run(warmUpMs + seed * 7 % 300);
  const fromMs = fleet.clock.nowMs();
  loss.inject(fleet, traffic);
  await traffic.run(observedMs);
  const recovery = {
    pauseMs: traffic.longestGapMs(fromMs),
    violationCount: traffic.violations().length,
  };
  fleet.platform.fault = { ...fleet.platform.fault, isDown: false };
  for (const daemon of fleet.daemons) daemon.clock.thaw();
  await fleet.stop();
  return recovery;
}

const titleWidth = 32;
const columnWidth = 14;

async function main(): Promise<void> {
  const titles = ["min pause ms", "max pause ms", "violations"];
  console.log(
    "loss".padEnd(titleWidth) +
      titles.map((title) => title.padStart(columnWidth)).join(""),
  );
  for (const loss of losses) {
    const recoveries: Recovery[] = [];
    for (const seed of seeds) {
      recoveries.push(await measureRecovery(loss, seed));
    }
    const pauses = recoveries.map(({ pauseMs }) => Math.round(pauseMs));
    const violationCount = recoveries
      .reduce((total, recovery) => total + recovery.violationCount, 0);
    const figures = [Math.min(...pauses), Math.max(...pauses), violationCount];
    console.log(
      loss.title.padEnd(titleWidth) +
        figures.map((f) => String(f).padStart(columnWidth)).join(""),
    );
  }
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main();
