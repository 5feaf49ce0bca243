/** Merges the statuses that the daemons report into one view of the fleet. */
import type {
  AssignmentStatus,
  Coordinator,
  GetStatusResponse,
  HomedServer,
} from "../gen/skylarkridge/v1/operator_pb.ts";
import type { DaemonAnswer } from "./fleet_client.ts";
import { formatOptional, formatTable } from "./table.ts";

const unreachableState = "unreachable";

/** The row of one daemon. */
interface DaemonRow {
  readonly daemonId: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly blockers: readonly string[];
  readonly listsVersion: number;
  readonly isListsLagging: boolean;
  readonly inFlightCount: number;
  readonly homedServerCount: number;
}

/** The row of one backend server; its load and permit are reported by its home daemon. */
interface ServerRow {
  readonly service: string;
  readonly serverId: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly homeDaemonId: string;
  readonly standbyDaemonId: string;
  readonly shardCount: number;
  readonly home: HomedServer | undefined;
}

/** The fleet as its daemons report it. */
export interface FleetStatus {
  readonly coordinator: Coordinator | undefined;
  readonly listsVersion: number;
  readonly daemons: readonly DaemonRow[];
  readonly servers: readonly ServerRow[];
}

type StatusAnswer = DaemonAnswer<GetStatusResponse>;

/** Merges the answers; of each assignment and of the lists, the newest version wins. */
export function createFleetStatus(
  answers: readonly StatusAnswer[],
): FleetStatus {
  const statuses = answers.flatMap(({ value }) => value ?? []);
  const listsVersion = Math.max(
    0,
    ...statuses.map((status) => Number(status.listsVersion)),
  );
  return {
    coordinator: findCoordinator(statuses),
    listsVersion,
    daemons: answers.map((answer) => createDaemonRow(answer, listsVersion)),
    servers: findNewestAssignments(statuses)
      .flatMap((assignment) => createServerRows(assignment, statuses)),
  };
}

function findCoordinator(
  statuses: readonly GetStatusResponse[],
): Coordinator | undefined {
  return statuses.flatMap(({ coordinator }) => coordinator ?? [])
    .sort((a, b) => Number(b.epoch - a.epoch))[0];
}

function createDaemonRow(
  { daemon, value }: StatusAnswer,
  newestListsVersion: number,
): DaemonRow {
  const listsVersion = Number(value?.listsVersion ?? 0);
  return {
    daemonId: daemon.daemonId,
    dataCentre: daemon.dataCentre,
    state: value?.state ?? unreachableState,
    blockers: value?.blockers ?? [],
    listsVersion,
    isListsLagging: value !== undefined && listsVersion < newestListsVersion,
    inFlightCount: value?.inFlightCount ?? 0,
    homedServerCount: value?.homedServers.length ?? 0,
  };
}

function findNewestAssignments(
  statuses: readonly GetStatusResponse[],
): AssignmentStatus[] {
  const newest = new Map<string, AssignmentStatus>();
  for (const assignment of statuses.flatMap((s) => s.assignments)) {
    const known = newest.get(assignment.service);
    if (known !== undefined && known.version >= assignment.version) continue;
    newest.set(assignment.service, assignment);
  }
  return [...newest.values()]
    .sort((a, b) => a.service < b.service ? -1 : 1);
}

function createServerRows(
  assignment: AssignmentStatus,
  statuses: readonly GetStatusResponse[],
): ServerRow[] {
  return assignment.servers.map((server) => ({
    service: assignment.service,
    serverId: server.serverId,
    dataCentre: server.dataCentre,
    state: server.state,
    homeDaemonId: server.homeDaemonId,
    standbyDaemonId: server.standbyDaemonId,
    shardCount: server.shardCount,
    home: statuses
      .find(({ self }) => self?.daemonId === server.homeDaemonId)
      ?.homedServers.find(({ serverId }) => serverId === server.serverId),
  }));
}

/** Renders the status as lines for a terminal. */
export function formatFleetStatus(status: FleetStatus): string[] {
  const { coordinator } = status;
  const coordinatorText = coordinator === undefined
    ? "not known"
    : `${coordinator.daemonId}, epoch ${coordinator.epoch}, ` +
      `permit ${coordinator.permitRemainingMs} ms`;
  return [
    `coordinator  ${coordinatorText}`,
    `lists        version ${status.listsVersion}`,
    "",
    ...formatDaemons(status.daemons),
    "",
    ...formatServers(status.servers),
  ];
}

function formatDaemons(daemons: readonly DaemonRow[]): string[] {
  const columns = [
    { title: "DAEMON" },
    { title: "DATA CENTRE" },
    { title: "STATE" },
    { title: "LISTS", isNumeric: true },
    { title: "IN FLIGHT", isNumeric: true },
    { title: "HOMED", isNumeric: true },
    { title: "REMARK" },
  ];
  const rows = daemons.map((daemon) => [
    daemon.daemonId,
    daemon.dataCentre,
    daemon.state,
    String(daemon.listsVersion),
    String(daemon.inFlightCount),
    String(daemon.homedServerCount),
    [...(daemon.isListsLagging ? ["lists lag"] : []), ...daemon.blockers]
      .join("; "),
  ]);
  return formatTable(columns, rows);
}

function formatServers(servers: readonly ServerRow[]): string[] {
  const columns = [
    { title: "SERVER" },
    { title: "SERVICE" },
    { title: "DATA CENTRE" },
    { title: "STATE" },
    { title: "HOME" },
    { title: "STANDBY" },
    { title: "SHARDS", isNumeric: true },
    { title: "QUEUED", isNumeric: true },
    { title: "BUSY", isNumeric: true },
    { title: "PERMIT MS", isNumeric: true },
  ];
  const rows = servers.map(({ home, ...server }) => [
    server.serverId,
    server.service,
    server.dataCentre,
    home?.state ?? server.state,
    server.homeDaemonId,
    formatOptional(server.standbyDaemonId),
    String(server.shardCount),
    String(home?.queuedCount ?? "-"),
    home === undefined ? "-" : `${home.inFlightCount}/${home.slotLimit}`,
    String(home?.permitRemainingMs ?? "-"),
  ]);
  return formatTable(columns, rows);
}
