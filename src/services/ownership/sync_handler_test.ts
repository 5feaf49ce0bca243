import * as assert from "uvu/assert";
import { Kernel } from "../../kernel/kernel.ts";
import { SeededRandomSource } from "../../host/random_source.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  FakePeerNetwork,
  FakePeerTransport,
} from "../../testing/fake_peers.ts";
import {
  FakePlatform,
  FakePlatformTable,
  FakeVmDirectory,
} from "../../testing/fake_platform.ts";
import { FreezableClock } from "../../testing/freezable_clock.ts";
import { EventRecordingLog } from "../../testing/test_fleet.ts";
import { VirtualClock } from "../../testing/virtual_clock.ts";
import type { DaemonInfo } from "../../types/types.ts";
import { SyncedMembership } from "../membership/synced_membership.ts";
import { StatsdMetrics } from "../metrics/statsd_metrics.ts";
import { ControlState } from "./control_state.ts";
import { createHashFunction } from "../../hashing/key_hash.ts";
import { MinimumMovePlacement } from "./placement_minimum_move.ts";
import { answerPromise, answerSync } from "./sync_handler.ts";
import type { SyncReport } from "./sync_messages.ts";
import { treeFanOut } from "./sync_tree.ts";

const hash = await createHashFunction();
const permitDurationMs = 1_800;

function createMembers(count: number): DaemonInfo[] {
  return Array.from({ length: count }, (_, index) => ({
    daemonId: `daemon-${String(index).padStart(3, "0")}`,
    address: `daemon-${index}:1`,
    dataCentre: "dc-a",
    isDraining: false,
  }));
}

const members = createMembers(treeFanOut + 4);
const holder = members[0]!;
const parent = members[1]!;
const child = members[treeFanOut + 2]!;

/** The state of a parent below the coordinator that follows epoch 4. */
function createParentState(shared: VirtualClock): ControlState {
  const clock = new FreezableClock(shared);
  const caller = { daemonId: parent.daemonId, clock };
  const network = new FakePeerNetwork();
  const kernel = new Kernel()
    .register(clock)
    .register(new SeededRandomSource(1))
    .register(new EventRecordingLog())
    .register(new StatsdMetrics({ address: undefined, daemonId: "" }))
    .register(new FakePlatformTable(new FakePlatform(), caller))
    .register(new FakeVmDirectory())
    .register(new FakePeerTransport(network, parent.address))
    .register(new SyncedMembership(parent));
  const state = new ControlState(kernel, {
    hash,
    options: {
      region: "region",
      definitions: [],
      placement: new MinimumMovePlacement(),
      syncIntervalMs: 300,
      permitDurationMs,
      leaseDurationMs: 1_000,
    },
  });
  state.updateView({
    epoch: 4,
    holderId: holder.daemonId,
    membersVersion: 2,
    members,
  });
  return state;
}

function createReport(parts: Partial<SyncReport> = {}): SyncReport {
  return {
    senderId: child.daemonId,
    epoch: 4,
    membersVersion: 2,
    promisedEpoch: 0,
    held: [],
    heard: [{ daemon: child, tokenMs: 70 }],
    releases: [],
    observations: [],
    announcements: [],
    ...parts,
  };
}

describe("sync handler of a parent", () => {
  it("grants a child at most the remaining time of its own permit", async () => {
    const clock = new VirtualClock();
    const state = createParentState(clock);
    await clock.advance(100);
    state.permit.extend(100, 900);
    await clock.advance(300);
    assert.is(answerSync(state, createReport()).permitRemainingMs, 600);
    await clock.advance(2_000);
    assert.is(answerSync(state, createReport()).permitRemainingMs, 0);
  });

  it("grants no permit to a daemon that has another parent", () => {
    const state = createParentState(new VirtualClock());
    state.permit.extend(0, permitDurationMs);
    const report = createReport({ senderId: members[2]!.daemonId });
    assert.is(answerSync(state, report).permitRemainingMs, 0);
  });

  it("relays confirmations of its own epoch only", () => {
    const state = createParentState(new VirtualClock());
    answerSync(state, createReport());
    assert.is(state.relay.take().heard[0]!.tokenMs, 70);
    answerSync(state, createReport({ epoch: 3 }));
    assert.is(state.relay.take().heard[0]!.tokenMs, undefined);
  });

  it("sends no token after it promised a newer epoch", () => {
    const state = createParentState(new VirtualClock());
    state.follower.receiveToken(4, 50, 0);
    assert.is(answerSync(state, createReport()).tokenMs, 50);
    answerPromise(state, { candidate: members[3]!, epoch: 5 });
    assert.is(answerSync(state, createReport()).tokenMs, undefined);
  });
});
