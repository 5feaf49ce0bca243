/** Plans the servers of a row, and the home and standby of each server. */
import { BackendServerState, MoveReason } from "../../types/enums.ts";
import type {
  AssignedServer,
  DaemonId,
  ServerId,
  VmRecord,
} from "../../types/types.ts";
import {
  noHomeDaemonId,
  type PendingRelease,
  ReleaseKind,
} from "./assignment_codec.ts";
import type { ServerStats } from "./fleet_view.ts";
import type { HomeChooser } from "./home_assignment.ts";
import type { RowDraft } from "./row_draft.ts";
import { computeServerState } from "./server_states.ts";

/** Input for planning servers and homes. */
export interface HomePlanInput {
  /** The service's backend servers in the platform's list. */
  readonly listedServers: readonly VmRecord[];
  readonly tryGetServerStats: (serverId: ServerId) => ServerStats | undefined;
  readonly isDaemonLive: (daemonId: DaemonId) => boolean;
  readonly homes: HomeChooser;
  /** Whether a server may change its home for a rebalance. */
  readonly mayRebalance: boolean;
}

/** Updates the servers of the draft from the platform's list. */
export function planServers(draft: RowDraft, input: HomePlanInput): void {
  const listed = new Map(input.listedServers.map((vm) => [vm.vmId, vm]));
  for (const vm of input.listedServers) {
    if (!draft.servers.has(vm.vmId)) draft.putServer(createServer(vm));
  }
  for (const server of [...draft.servers.values()]) {
    const vm = listed.get(server.serverId);
    const stats = input.tryGetServerStats(server.serverId);
    const state = computeServerState({ vm, stats, assigned: server });
    draft.setState(server.serverId, state);
    if (vm === undefined && isUnreferenced(draft, server.serverId)) {
      draft.removeServer(server.serverId);
    }
  }
}

/**
 * Withdraws servers from homes that are lost, draining or overloaded. At most
 * one server of a service is withdrawn for a rebalance at a time.
 */
export function withdrawHomes(draft: RowDraft, input: HomePlanInput): void {
  let mayRebalance = input.mayRebalance &&
    !draft.pendingReleases.some(({ kind }) => kind === ReleaseKind.Home);
  for (const server of [...draft.servers.values()]) {
    const home = server.homeDaemonId;
    if (home === noHomeDaemonId) continue;
    const reason = tryFindWithdrawalReason(home, input, mayRebalance);
    if (reason === undefined) continue;
    if (reason === MoveReason.Rebalance) mayRebalance = false;
    input.homes.decrementLoad(home);
    draft.withdrawHome(server.serverId, reason);
  }
}

/**
 * Assigns a home to each server without a home whose last home has released
 * it, and a standby to every server.
 */
export function assignHomes(
  draft: RowDraft,
  input: HomePlanInput,
  released: readonly PendingRelease[],
): void {
  for (const server of [...draft.servers.values()]) {
    const { serverId } = server;
    if (server.homeDaemonId !== noHomeDaemonId) continue;
    if (isHomeReleasePending(draft, serverId)) continue;
    const reason = released.find((release) =>
      release.kind === ReleaseKind.Home && release.serverId === serverId
    )?.reason ?? MoveReason.Initial;
    const home = input.homes.tryChooseHome(server, reason);
    if (home !== undefined) {
      draft.assignHome(serverId, home, reason);
    }
  }
  for (const server of [...draft.servers.values()]) {
    const standbyDaemonId = input.homes.tryChooseStandby(server);
    if (standbyDaemonId === server.standbyDaemonId) continue;
    draft.putServer({ ...server, standbyDaemonId });
  }
}

function tryFindWithdrawalReason(
  home: DaemonId,
  { homes, isDaemonLive }: HomePlanInput,
  mayRebalance: boolean,
): MoveReason | undefined {
  if (!isDaemonLive(home)) return MoveReason.HomeLost;
  if (!homes.hasCandidates()) return undefined;
  if (!homes.isCandidate(home)) return MoveReason.HomeDraining;
  if (mayRebalance && homes.isOverloaded(home)) return MoveReason.Rebalance;
  return undefined;
}

function isHomeReleasePending(draft: RowDraft, serverId: ServerId): boolean {
  return draft.pendingReleases.some((release) =>
    release.kind === ReleaseKind.Home && release.serverId === serverId
  );
}

function isUnreferenced(draft: RowDraft, serverId: ServerId): boolean {
  return !draft.owners.includes(serverId) &&
    ![...draft.overrides.values()].some((o) => o.serverId === serverId) &&
    !draft.pendingReleases.some((release) => release.serverId === serverId);
}

function createServer(vm: VmRecord): AssignedServer {
  return {
    serverId: vm.vmId,
    address: vm.address,
    dataCentre: vm.dataCentre,
    state: BackendServerState.Live,
    homeDaemonId: noHomeDaemonId,
    standbyDaemonId: undefined,
    homeFence: 0,
  };
}
