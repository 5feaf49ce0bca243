/** Injects the faults of a schedule into a test fleet, one task for each fault. */
import { VmRole, VmState } from "../types/enums.ts";
import { assertNever } from "../types/errors.ts";
import type { FakeBackendServer } from "../testing/fake_backend.ts";
import type { TestDaemon, TestFleet } from "../testing/test_fleet.ts";
import { type Fault, FaultKind } from "./fault_schedule.ts";

/** A schedule never leaves fewer daemons running. */
const minDaemonCount = 3;
/** A schedule never leaves fewer backend servers running. */
const minServerCount = 2;

/** Injects each fault at its time; resolves when all faults have ended. */
export async function injectFaults(
  fleet: TestFleet,
  faults: readonly Fault[],
): Promise<void> {
  await Promise.all(faults.map((fault) => injectFault(fleet, fault)));
}

async function injectFault(fleet: TestFleet, fault: Fault): Promise<void> {
  await fleet.clock.sleep(fault.startsAtMs);
  const end = await beginFault(fleet, fault);
  await fleet.clock.sleep(fault.durationMs);
  end();
}

type EndFault = () => void;

/** Begins a fault and returns the function that ends it. */
async function beginFault(
  fleet: TestFleet,
  fault: Fault,
): Promise<EndFault> {
  switch (fault.kind) {
    case FaultKind.KillServer:
      return killServer(fleet, fault);
    case FaultKind.FreezeServer:
      return freezeClock(pick(listAvailableServers(fleet), fault.targetIndex));
    case FaultKind.DrainServer:
      return drainServer(fleet, fault);
    case FaultKind.AddServer:
      fleet.addServer();
      return doNothing;
    case FaultKind.ServerLosesAnswers:
    case FaultKind.ServerSheds:
      return injectServerFault(fleet, fault);
    case FaultKind.KillDaemon:
      return killDaemon(fleet, fault);
    case FaultKind.FreezeDaemon:
      return freezeClock(pick(fleet.daemons, fault.targetIndex));
    case FaultKind.AddDaemon:
      await fleet.startDaemon();
      return doNothing;
    case FaultKind.CutDaemonLink:
    case FaultKind.CutDaemonFromStore:
    case FaultKind.CutDaemonFromServer:
      return cutConnection(fleet, fault);
    case FaultKind.StoreDown:
    case FaultKind.StoreSlow:
    case FaultKind.StoreLosesAnswers:
      return injectStoreFault(fleet, fault.kind);
    default:
      return assertNever(fault.kind);
  }
}

function doNothing(): void {}

function pick<T>(items: readonly T[], index: number): T {
  return items[index % items.length]!;
}

function listAvailableServers(fleet: TestFleet): FakeBackendServer[] {
  return [...fleet.backends.servers.values()]
    .filter((server) => server.behaviour.isAlive)
    .filter((server) => !server.behaviour.isDraining);
}

function freezeClock(
  target: { readonly clock: { freeze(): void; thaw(): void } },
): EndFault {
  target.clock.freeze();
  return () => target.clock.thaw();
}

function killServer(fleet: TestFleet, fault: Fault): EndFault {
  const available = listAvailableServers(fleet);
  if (available.length <= minServerCount) return doNothing;
  pick(available, fault.targetIndex).behaviour.isAlive = false;
  return doNothing;
}

function drainServer(fleet: TestFleet, fault: Fault): EndFault {
  const available = listAvailableServers(fleet);
  if (available.length <= minServerCount) return doNothing;
  const server = pick(available, fault.targetIndex);
  server.behaviour.isDraining = true;
  fleet.putVm({
    vmId: server.serverId,
    role: VmRole.BackendServer,
    state: VmState.Leaving,
    address: server.serverId,
    dataCentre: "dc-a",
    service: fleet.definition.name,
  });
  return doNothing;
}

function injectServerFault(fleet: TestFleet, fault: Fault): EndFault {
  const { behaviour } = pick(listAvailableServers(fleet), fault.targetIndex);
  if (fault.kind === FaultKind.ServerSheds) {
    behaviour.isShedding = true;
    return () => behaviour.isShedding = false;
  }
  behaviour.losesAnswers = true;
  return () => behaviour.losesAnswers = false;
}

function killDaemon(fleet: TestFleet, fault: Fault): EndFault {
  if (fleet.daemons.length <= minDaemonCount) return doNothing;
  const daemon = pick(fleet.daemons, fault.targetIndex);
  fleet.kill(daemon);
  return () => fleet.removeVm(daemon.daemonId);
}

function cutConnection(fleet: TestFleet, fault: Fault): EndFault {
  const daemon = pick(fleet.daemons, fault.targetIndex);
  switch (fault.kind) {
    case FaultKind.CutDaemonLink:
      return cutLink(fleet, daemon, pick(fleet.daemons, fault.otherIndex));
    case FaultKind.CutDaemonFromStore:
      return addMember(fleet.platform.cutOff, daemon.daemonId);
    default: {
      const server = pick(listAvailableServers(fleet), fault.otherIndex);
      const link = `${daemon.daemonId}>${server.serverId}`;
      return addMember(fleet.backends.cutLinks, link);
    }
  }
}

function cutLink(
  fleet: TestFleet,
  daemon: TestDaemon,
  other: TestDaemon,
): EndFault {
  fleet.network.cut(daemon.address, other.address);
  return () => fleet.network.heal(daemon.address, other.address);
}

function addMember(set: Set<string>, member: string): EndFault {
  set.add(member);
  return () => set.delete(member);
}

function injectStoreFault(fleet: TestFleet, kind: FaultKind): EndFault {
  const healthy = { isDown: false, delayMs: 0, losesWriteAnswers: false };
  fleet.platform.fault = {
    isDown: kind === FaultKind.StoreDown,
    delayMs: kind === FaultKind.StoreSlow ? 400 : 0,
    losesWriteAnswers: kind === FaultKind.StoreLosesAnswers,
  };
  return () => {
    fleet.platform.fault = healthy;
  };
}
