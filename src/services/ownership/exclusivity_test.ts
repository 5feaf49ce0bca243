import * as assert from "uvu/assert";
import * as fc from "fast-check";
import { ServiceName } from "../../kernel/service_name.ts";
import { FencingMode, VmState } from "../../types/enums.ts";
import type { ServiceAssignment } from "../../types/types.ts";
import { describe, it } from "../../testing/describe.ts";
import { NoRebalancePlacement } from "../../testing/no_rebalance_placement.ts";
import type {
  FakeBackendServers,
  FakeExecution,
} from "../../testing/fake_backend.ts";
import {
  findCoordinator,
  getAssignment,
  getLease,
} from "../../testing/fleet_queries.ts";
import { KeyTraffic } from "../../testing/key_traffic.ts";
import { type TestDaemon, TestFleet } from "../../testing/test_fleet.ts";
import { InFlightSource } from "./ownership.ts";

/** Determines in-flight requests from the fake backend servers themselves. */
class BackendInFlightSource extends InFlightSource {
  readonly #backends: FakeBackendServers;
  readonly #daemon: TestDaemon;
  readonly #service: string;

  constructor(fleet: TestFleet, daemon: TestDaemon) {
    super();
    this.#backends = fleet.backends;
    this.#daemon = daemon;
    this.#service = fleet.definition.name;
  }

  override isReleased(assignment: ServiceAssignment): boolean {
    return this.#backends.executions()
      .filter((execution) => execution.finishedAtMs === Infinity)
      .every((execution) => this.#isAllowed(assignment, execution));
  }

  #isAllowed(assignment: ServiceAssignment, execution: FakeExecution): boolean {
    const located = this.#daemon.kernel.get(ServiceName.Ownership)
      .locate(this.#service, execution.key);
    return located.isOk() &&
      located.value.assignmentVersion === assignment.version &&
      located.value.server.serverId === execution.serverId;
  }
}

async function startFleet(
  seed: number,
  { serviceTimeMs = 2, daemonCount = 5 }: {
    readonly serviceTimeMs?: number;
    readonly daemonCount?: number;
  } = {},
): Promise<{ fleet: TestFleet; traffic: KeyTraffic }> {
  const fleet = new TestFleet({
    seed,
    daemonCount,
    serverCount: 5,
    definition: { fencingMode: FencingMode.Unchecked },
    serverBehaviour: { serviceTimeMs, slotCount: 100 },
    settings: { placement: new NoRebalancePlacement() },
  });
  await fleet.start();
  for (const daemon of fleet.daemons) {
    daemon.kernel.get(ServiceName.Ownership)
      .setInFlightSource(new BackendInFlightSource(fleet, daemon));
  }
  const traffic = new KeyTraffic(fleet);
  await traffic.run(1_000);
  return { fleet, traffic };
}

function setServerState(
  fleet: TestFleet,
  { serverId, state }: { readonly serverId: string; readonly state: VmState },
): void {
  const vm = fleet.platform.state.vms().find((v) => v.vmId === serverId)!;
  fleet.putVm({ ...vm, state });
}

describe("exclusive ownership of keys", () => {
  describe("while requests are in flight at the old owner", () => {
    it("assigns a key to the next owner only after those requests ended", async () => {
      const { fleet, traffic } = await startFleet(51, { serviceTimeMs: 700 });
      setServerState(fleet, { serverId: "server-0", state: VmState.Leaving });
      await traffic.run(4_000);
      const last = fleet.backends.servers.get("server-0")!.executions.at(-1)!;
      assert.ok(last.finishedAtMs < fleet.clock.nowMs());
      assert.equal(traffic.violations(), []);
      await fleet.stop();
    });
  });

  describe("with a home that only the replaced coordinator reaches", () => {
    it("moves no key of the home's server until the home's permit has expired", async () => {
      const { fleet, traffic } = await startFleet(52);
      const coordinator = findCoordinator(fleet);
      const server = getAssignment(fleet).servers
        .find((s) => s.homeDaemonId !== coordinator.daemonId)!;
      const home = fleet.daemons
        .find((d) => d.daemonId === server.homeDaemonId)!;
      const { epoch } = getLease(fleet);
      fleet.platform.cutOff.add(coordinator.daemonId);
      fleet.platform.cutOff.add(home.daemonId);
      for (const other of fleet.daemons) {
        if (other === home || other === coordinator) continue;
        fleet.network.cut(home.address, other.address);
      }
      while (getLease(fleet).epoch === epoch) await traffic.run(50);
      setServerState(fleet, {
        serverId: server.serverId,
        state: VmState.Leaving,
      });
      await traffic.run(6_000);
      assert.equal(traffic.violations(), []);
      await fleet.stop();
    });
  });

  describe("with a replaced coordinator that a majority still reaches", () => {
    it("moves a key only after all daemons follow the new coordinator", async () => {
      const { fleet, traffic } = await startFleet(54, { daemonCount: 9 });
      const coordinator = findCoordinator(fleet);
      const { epoch } = getLease(fleet);
      fleet.platform.cutOff.add(coordinator.daemonId);
      while (getLease(fleet).epoch === epoch) await traffic.run(50);
      for (const { serverId } of getAssignment(fleet).servers.slice(0, 3)) {
        setServerState(fleet, { serverId, state: VmState.Leaving });
      }
      await traffic.run(6_000);
      assert.equal(traffic.violations(), []);
      await fleet.stop();
    });
  });

  describe("with a candidate that reaches the store but no member", () => {
    it("leaves the lease to the coordinator that a majority follows", async () => {
      const { fleet, traffic } = await startFleet(55);
      const coordinator = findCoordinator(fleet);
      const { epoch } = getLease(fleet);
      const candidate = fleet.daemons.find((d) => d !== coordinator)!;
      for (const daemon of fleet.daemons) {
        if (daemon === candidate) continue;
        fleet.platform.cutOff.add(daemon.daemonId);
        fleet.network.cut(daemon.address, candidate.address);
      }
      await traffic.run(8_000);
      assert.is(getLease(fleet).epoch, epoch);
      assert.equal(traffic.violations(), []);
      await fleet.stop();
    });
  });

  describe("under random faults with a fixed seed", () => {
    it("never lets two servers own a key at the same time", async () => {
      await fc.assert(
        fc.asyncProperty(fc.array(faults, { maxLength: 8 }), runFaults),
        { seed: 4_711, numRuns: 12 },
      );
    });
  });
});

/** Kinds of faults in a random schedule. */
enum FaultKind {
  FreezeDaemon = "freeze-daemon",
  CutPeers = "cut-peers",
  CutStore = "cut-store",
  StoreDown = "store-down",
  LoseWriteAnswers = "lose-write-answers",
  ServerDown = "server-down",
  ServerLeaves = "server-leaves",
}

interface Fault {
  readonly kind: FaultKind;
  readonly index: number;
  readonly durationMs: number;
  readonly pauseMs: number;
}

const faults: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom(...Object.values(FaultKind)),
  index: fc.integer({ min: 0, max: 4 }),
  durationMs: fc.integer({ min: 200, max: 4_000 }),
  pauseMs: fc.integer({ min: 0, max: 1_500 }),
});

async function runFaults(schedule: readonly Fault[]): Promise<void> {
  const { fleet, traffic } = await startFleet(53);
  const ends: { readonly atMs: number; readonly end: () => void }[] = [];
  for (const fault of schedule) {
    const end = beginFault(fleet, fault);
    ends.push({ atMs: fleet.clock.nowMs() + fault.durationMs, end });
    await traffic.run(fault.pauseMs);
    for (const due of ends.filter((e) => e.atMs <= fleet.clock.nowMs())) {
      due.end();
      ends.splice(ends.indexOf(due), 1);
    }
  }
  for (const { end } of ends) end();
  await traffic.run(8_000);
  const settledAtMs = fleet.clock.nowMs();
  await traffic.run(1_000);
  assert.equal(traffic.violations(), []);
  assert.ok(
    traffic.longestGapMs(settledAtMs) <= 300,
    "keys are not served again",
  );
  await fleet.stop();
}

/** Begins a fault and returns the function that ends it. */
function beginFault(fleet: TestFleet, fault: Fault): () => void {
  const daemon = fleet.daemons[fault.index]!;
  const serverId = `server-${fault.index}`;
  const { platform, backends } = fleet;
  switch (fault.kind) {
    case FaultKind.FreezeDaemon:
      daemon.clock.freeze();
      return () => daemon.clock.thaw();
    case FaultKind.CutPeers:
      for (const other of fleet.daemons) {
        if (other !== daemon) fleet.network.cut(daemon.address, other.address);
      }
      return () => fleet.network.healAll();
    case FaultKind.CutStore:
      platform.cutOff.add(daemon.daemonId);
      return () => platform.cutOff.delete(daemon.daemonId);
    case FaultKind.StoreDown:
      platform.fault = { ...platform.fault, isDown: true };
      return () => platform.fault = { ...platform.fault, isDown: false };
    case FaultKind.LoseWriteAnswers:
      platform.fault = { ...platform.fault, losesWriteAnswers: true };
      return () =>
        platform.fault = { ...platform.fault, losesWriteAnswers: false };
    case FaultKind.ServerDown:
      backends.servers.get(serverId)!.behaviour.isAlive = false;
      return () => backends.servers.get(serverId)!.behaviour.isAlive = true;
    case FaultKind.ServerLeaves:
      setServerState(fleet, { serverId, state: VmState.Leaving });
      return () => setServerState(fleet, { serverId, state: VmState.Live });
  }
}
