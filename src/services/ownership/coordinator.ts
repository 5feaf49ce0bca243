/**
 * The decisions of the coordinator, from when this daemon takes the lease until
 * it loses or resigns it: its authority, the reports it received, the permits
 * it granted, and the plan of every row. `lease_task.ts` runs the coordinator,
 * and `lease_store.ts` commits what is decided here.
 */
import { VmRole, VmState } from "../../types/enums.ts";
import type {
  DaemonId,
  DaemonInfo,
  ServerId,
  VmRecord,
} from "../../types/types.ts";
import { type AssignmentRow, noHomeDaemonId } from "./assignment_codec.ts";
import { Authority } from "./authority.ts";
import {
  firstAssignmentDelayMs,
  memberTimeoutMs,
  missedSyncLimit,
} from "./control_options.ts";
import type { ControlState } from "./control_state.ts";
import { FleetView } from "./fleet_view.ts";
import { HomeChooser, type HomeLoads } from "./home_assignment.ts";
import { planMembers } from "./member_planner.ts";
import { planMoves } from "./move_planner.ts";
import { computeShard } from "../../hashing/key_hash.ts";
import { PermitLedger } from "./permit_ledger.ts";
import { PlacementGate } from "./placement_gate.ts";
import { ServiceRates } from "./placement_service_rates.ts";
import { ReleaseTracker } from "./release_tracker.ts";
import type { SyncReport } from "./sync_messages.ts";
import { tryGetParent } from "./sync_tree.ts";

/** Time without a report after which a replaced coordinator counts as lost. */
const replacedHolderGraceMs = 300;

/** When the lease was taken, and from whom. */
export interface LeaseOrigin {
  readonly takenAtMs: number;
  /** Local instant by which the previous coordinator's authority had ended. */
  readonly previousEndedAtMs: number;
  readonly previousHolderId: DaemonId | undefined;
}

/** Plans the assignments and members of the region and grants permits. */
export class Coordinator {
  readonly authority: Authority;
  readonly fleet: FleetView;
  readonly #state: ControlState;
  readonly #ledger: PermitLedger;
  readonly #origin: LeaseOrigin;
  readonly #rates: ReadonlyMap<string, ServiceRates>;
  readonly #releases: ReleaseTracker;
  #highestPromisedEpoch = 0;
  readonly #gate: PlacementGate;
  #isLoaded = false;

  constructor(state: ControlState, origin: LeaseOrigin) {
    const { leaseDurationMs, permitDurationMs } = state.options;
    this.#state = state;
    this.#origin = origin;
    this.#gate = new PlacementGate(origin.takenAtMs);
    this.#rates = createRates(state, origin.takenAtMs);
    this.fleet = new FleetView(this.#rates);
    this.authority = new Authority(state.selfId(), leaseDurationMs);
    this.#ledger = new PermitLedger({
      permitDurationMs,
      previousEndedAtMs: origin.previousEndedAtMs,
      previousHolderId: origin.previousHolderId,
    });
    this.#releases = new ReleaseTracker({
      fleet: this.fleet,
      ledger: this.#ledger,
      takenAtMs: origin.takenAtMs,
    });
  }

  epoch(): number {
    return this.authority.epoch();
  }

  /** Whether the committed rows were read since the lease was taken. */
  isLoaded(): boolean {
    return this.#isLoaded;
  }

  /**
   * Marks the committed rows as loaded, and counts every member as live from
   * when the lease was taken, so that each has time to report. The previous
   * coordinator has only `replacedHolderGraceMs`.
   */
  finishLoading(members: readonly DaemonInfo[]): void {
    const backdatedMs = this.#lossTimeoutMs() - replacedHolderGraceMs;
    const { takenAtMs, previousHolderId } = this.#origin;
    for (const daemon of members) {
      const isReplaced = daemon.daemonId === previousHolderId;
      this.fleet.markHeard(
        daemon,
        isReplaced ? takenAtMs - backdatedMs : takenAtMs,
      );
    }
    this.#isLoaded = true;
  }

  /**
   * Keeps the daemons live that were live when this process was suspended, since
   * the suspended process could not receive their reports.
   */
  keepLiveAfterSuspension(suspendedAtMs: number, nowMs: number): void {
    const live = this.fleet.listHeardSince(
      suspendedAtMs - this.#lossTimeoutMs(),
    );
    for (const daemon of live) this.fleet.markHeard(daemon, nowMs);
  }

  /** Local instant until which this daemon may send requests to its servers. */
  permitExpiresAtMs(nowMs: number): number {
    if (!this.#isLoaded) return Number.NEGATIVE_INFINITY;
    const { permitDurationMs } = this.#state.options;
    return Math.min(
      this.authority.expiresAtMs(nowMs),
      nowMs + permitDurationMs,
    );
  }

  /** Processes a report from a child, or from this daemon itself. */
  receiveReport(report: SyncReport, nowMs: number): void {
    this.#highestPromisedEpoch = Math.max(
      this.#highestPromisedEpoch,
      report.promisedEpoch,
    );
    const { assignments } = this.#state;
    this.fleet.recordReport(report, {
      nowMs,
      isHomeOf: (daemonId, serverId) =>
        assignments.tryGetServer(serverId)?.homeDaemonId === daemonId,
    });
    if (report.epoch !== this.epoch()) return;
    for (const { daemon, tokenMs } of report.heard) {
      if (tokenMs === undefined) continue;
      this.authority.confirmMember(daemon.daemonId, tokenMs);
    }
  }

  /** Grants a permit and returns its duration; 0 without authority. */
  grantPermit(daemonId: DaemonId, nowMs: number): number {
    const authorityEndsAtMs = this.authority.expiresAtMs(nowMs);
    if (!this.#isLoaded || nowMs >= authorityEndsAtMs) return 0;
    return this.#ledger.grant(daemonId, { nowMs, authorityEndsAtMs });
  }

  /**
   * The epoch for the next renewal: not below any promised epoch, so that
   * members that promised to a failed candidate follow this coordinator again.
   */
  nextEpoch(): number {
    return Math.max(this.epoch(), this.#highestPromisedEpoch);
  }

  /** Records that new rows or members are published to daemons from now on. */
  recordPublished(rows: readonly AssignmentRow[], nowMs: number): void {
    this.#releases.recordPublished(rows, nowMs);
    const view = this.#state.follower.view();
    const indirect = view.members.map(({ daemonId }) => daemonId)
      .filter((id) => {
        const parent = tryGetParent(view, id);
        return parent !== undefined && parent.daemonId !== view.holderId;
      });
    this.#ledger.setIndirectDaemons(new Set(indirect), nowMs);
    this.#releases.pruneVersions(this.#state.assignments.rows());
  }

  /** Whether fewer than half of the members are live. */
  isIsolated(nowMs: number): boolean {
    const live = new Set(this.#listLiveDaemons(nowMs).map((d) => d.daemonId));
    const { members } = this.#state.follower.view();
    const heard = members.filter(({ daemonId }) => live.has(daemonId));
    return 2 * heard.length < members.length;
  }

  /** Whether another live daemon that isn't draining could take the lease. */
  hasSuccessor(nowMs: number): boolean {
    const selfId = this.#state.selfId();
    return this.#listLiveDaemons(nowMs)
      .some(({ daemonId, isDraining }) => daemonId !== selfId && !isDraining);
  }

  /** Plans the members list to be committed next. */
  planMembers(nowMs: number): readonly DaemonInfo[] {
    const remembered = this.fleet.listHeardSince(nowMs - memberTimeoutMs);
    const listed = this.#state.directory.current();
    return planMembers({
      recorded: this.#state.follower.view().members,
      live: this.#listLiveDaemons(nowMs),
      rememberedIds: new Set(remembered.map(({ daemonId }) => daemonId)),
      listedIds: new Set(listed.map(({ vmId }) => vmId)),
    });
  }

  /** Plans the next row of every service; returns only rows that change. */
  planRows(nowMs: number): readonly AssignmentRow[] {
    const vms = this.#state.directory.current();
    if (vms.length === 0 || !this.#mayPlan(nowMs)) return [];
    const live = this.#listLiveDaemons(nowMs);
    const liveIds = new Set(live.map(({ daemonId }) => daemonId));
    const servers = vms.filter(({ role }) => role === VmRole.BackendServer);
    this.fleet.retainServers(new Set(servers.map(({ vmId }) => vmId)));
    const homes = new HomeChooser({
      hash: this.#state.hash,
      daemons: live,
      loads: this.#countLoads(),
      serverCount: servers.length,
    });
    const mayRebalance = this.#gate.isPlanDue(nowMs);
    const mayMoveShards = mayRebalance &&
      this.#mayMoveShards(nowMs, { live, servers });
    const { options, assignments, clock, random, hash } = this.#state;
    return options.definitions.flatMap((definition) =>
      planMoves({
        definition,
        hash,
        homes,
        mayRebalance,
        mayMoveShards,
        placement: options.placement,
        rates: this.#rates.get(definition.name)!,
        row: assignments.tryGet(definition.name),
        listedServers: servers.filter((vm) => vm.service === definition.name),
        tryGetServerStats: (serverId: ServerId) =>
          this.fleet.tryGetServer(serverId),
        isDaemonLive: (daemonId) => liveIds.has(daemonId),
        isReleased: (release) =>
          this.#releases.isReleased(definition.name, {
            release,
            liveIds,
            nowMs,
          }),
        metadata: {
          service: definition.name,
          shardCount: definition.shardCount,
          epoch: this.epoch(),
          wallTimeMs: clock.wallTimeMs(),
          writeId: random.nextId(),
        },
      }) ?? []
    );
  }

  /** Records the duration of a commit, by which the gate blocks rebalances. */
  recordCommitDuration(durationMs: number): void {
    this.#gate.recordCommitDuration(durationMs);
  }

  #mayMoveShards(
    nowMs: number,
    { live, servers }: {
      readonly live: readonly DaemonInfo[];
      readonly servers: readonly VmRecord[];
    },
  ): boolean {
    for (const rates of this.#rates.values()) rates.update(nowMs);
    const topology = [
      ...live.map((daemon) => `${daemon.daemonId}/${daemon.isDraining}`),
      ...servers.map(({ vmId, state }) =>
        `${vmId}/${state}/${this.fleet.tryGetServer(vmId)?.state}`
      ),
    ];
    return this.#gate.evaluate(nowMs, topology.join());
  }

  /**
   * Delays the first rows of a region, so that they include the daemons that
   * start at about the same time.
   */
  #mayPlan(nowMs: number): boolean {
    const isFirst = this.#state.assignments.rows().length === 0;
    return !isFirst || nowMs >= this.#origin.takenAtMs + firstAssignmentDelayMs;
  }

  #listLiveDaemons(nowMs: number): readonly DaemonInfo[] {
    const leaving = new Set(
      this.#state.directory.current()
        .filter(({ state }) => state === VmState.Leaving)
        .map(({ vmId }) => vmId),
    );
    this.fleet.markHeard(this.#state.membership.self(), nowMs);
    return this.fleet.listHeardSince(nowMs - this.#lossTimeoutMs())
      .map((daemon) => ({
        ...daemon,
        isDraining: daemon.isDraining || leaving.has(daemon.daemonId),
      }));
  }

  #lossTimeoutMs(): number {
    return this.#state.options.syncIntervalMs * missedSyncLimit;
  }

  #countLoads(): HomeLoads {
    const loads: HomeLoads = new Map();
    for (const row of this.#state.assignments.rows()) {
      for (const { homeDaemonId } of row.servers) {
        if (homeDaemonId === noHomeDaemonId) continue;
        loads.set(homeDaemonId, (loads.get(homeDaemonId) ?? 0) + 1);
      }
    }
    return loads;
  }
}

function createRates(
  { options, hash }: ControlState,
  nowMs: number,
): ReadonlyMap<string, ServiceRates> {
  return new Map(options.definitions.map((definition) => [
    definition.name,
    new ServiceRates(nowMs, {
      shardCount: definition.shardCount,
      shardOf: (key) => computeShard(hash, key, definition),
    }),
  ]));
}
