import { setTimeout as delay } from "node:timers/promises";
import * as assert from "uvu/assert";
import {
  type SmallDaemon,
  SmallFleet,
} from "../../standins/fleet/small_fleet.ts";
import { EntranceState } from "../../standins/fleet/row_store_standin.ts";
import { ServiceName } from "../kernel/service_name.ts";
import { describe, it } from "../testing/describe.ts";

const daemonCount = 4;
const startTimeoutMs = 10_000;
/** The platform's bound for a change of the configuration, and what it adds while the store turns daemons away. */
const configurationBoundMs = 2_000 + 5_000;
/** Longest time for which a call that the store has accepted may still wait for changes. */
const acceptedCallMs = 1_000;
const pollIntervalMs = 20;

function versionOf({ kernel }: SmallDaemon): number | undefined {
  return kernel.get(ServiceName.Routing).currentTable()?.version;
}

function isGranter({ kernel }: SmallDaemon): boolean {
  return kernel.get(ServiceName.KeyGranter).isActive();
}

async function waitUntil(
  condition: () => boolean,
  timeoutMs: number,
): Promise<boolean> {
  const deadlineAtMs = performance.now() + timeoutMs;
  while (!condition() && performance.now() < deadlineAtMs) {
    await delay(pollIntervalMs);
  }
  return condition();
}

/** Runs daemons that know the first version and one of which is the key granter. */
async function withFleet(
  run: (
    fleet: SmallFleet,
    daemons: { readonly granter: SmallDaemon; readonly others: SmallDaemon[] },
  ) => Promise<void>,
): Promise<void> {
  const fleet = new SmallFleet();
  try {
    await fleet.start();
    for (let i = 0; i < daemonCount; i++) await fleet.addDaemon();
    const isStarted = await waitUntil(
      () =>
        fleet.daemons.some(isGranter) &&
        fleet.daemons.every((daemon) => versionOf(daemon) !== undefined),
      startTimeoutMs,
    );
    assert.ok(isStarted, "the fleet did not start");
    await run(fleet, {
      granter: fleet.daemons.find(isGranter)!,
      others: fleet.daemons.filter((daemon) => !isGranter(daemon)),
    });
  } finally {
    await fleet.stop();
  }
}

describe("a daemon that the store turns away together with the key granter", () => {
  for (const state of [EntranceState.Refusing, EntranceState.Silent]) {
    it(`puts a new configuration in force while the store serves another daemon (${state})`, async () => {
      await withFleet(async (fleet, { granter, others }) => {
        const [served, ...turnedAway] = others;
        const late = [granter, ...turnedAway];
        for (const { storeEntrance } of late) storeEntrance.state = state;
        await delay(acceptedCallMs);
        const versionBefore = versionOf(granter)!;
        fleet.configure(["/added/"]);
        const isInForce = (daemon: SmallDaemon) =>
          versionOf(daemon)! > versionBefore;
        await waitUntil(() => late.every(isInForce), configurationBoundMs);
        assert.ok(isInForce(served!), "the served daemon is late");
        assert.is(late.filter(isInForce).length, late.length);
      });
    });
  }

  it("follows the next key granter, whose address it learns from another daemon", async () => {
    await withFleet(async ({ daemons }, { granter, others }) => {
      const [served, ...turnedAway] = others;
      for (const { storeEntrance } of [granter, ...turnedAway]) {
        storeEntrance.state = EntranceState.Refusing;
      }
      const isFollowing = ({ kernel }: SmallDaemon) =>
        !kernel.get(ServiceName.TableFeed).isCutOff();
      const isTakenOver = await waitUntil(
        () => isGranter(served!) && !isGranter(granter),
        startTimeoutMs,
      );
      assert.ok(isTakenOver, "the served daemon is not the key granter");
      await waitUntil(() => daemons.every(isFollowing), configurationBoundMs);
      assert.is(daemons.filter(isFollowing).length, daemons.length);
    });
  });
});
