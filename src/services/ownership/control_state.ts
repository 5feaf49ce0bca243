/**
 * The state that the tasks of the ownership service share: the assignments and
 * the view of the coordinator that this daemon holds, its promise and permit,
 * and the `Coordinator` while this daemon is the coordinator.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { Clock } from "../../host/clock.ts";
import type { PlatformTable } from "../../host/platform_table.ts";
import type { RandomSource } from "../../host/random_source.ts";
import type { VmDirectory } from "../../host/vm_directory.ts";
import type { PeerTransport } from "../../host/peer_transport.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { DaemonId } from "../../types/types.ts";
import type { Log } from "../log/log.ts";
import type { Membership } from "../membership/membership.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { AssignmentCache } from "./assignment_cache.ts";
import type { ControlOptions } from "./control_options.ts";
import type { Coordinator } from "./coordinator.ts";
import type { HashFunction } from "../../hashing/key_hash.ts";
import { FollowerState } from "./follower_state.ts";
import { OwnPermit } from "./own_permit.ts";
import type { InFlightSource } from "./ownership.ts";
import { ReportRelay } from "./report_relay.ts";
import type { CoordinatorView, ReleaseReport } from "./sync_messages.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";

/** State that the tasks of one daemon share. */
export class ControlState {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly table: PlatformTable;
  readonly directory: VmDirectory;
  readonly transport: PeerTransport;
  readonly membership: Membership;
  readonly options: ControlOptions;
  readonly hash: HashFunction;
  readonly assignments = new AssignmentCache();
  readonly follower = new FollowerState();
  readonly relay = new ReportRelay();
  readonly permit: OwnPermit;
  /** Notified when a report should be sent before the interval ends. */
  readonly syncSignal = new ChangeSignal();
  /** Notified when the coordinator should plan before the interval ends. */
  readonly decisionSignal = new ChangeSignal();
  /** Local instant of the last sync answer that extended the permit. */
  lastSyncAtMs = Number.NEGATIVE_INFINITY;
  /** Local instant before which this daemon doesn't claim the lease. */
  leaseClaimAllowedAtMs = Number.NEGATIVE_INFINITY;
  inFlightSource: InFlightSource | undefined;
  #coordinator: Coordinator | undefined;

  constructor(
    services: ServiceLookup,
    { options, hash }: {
      readonly options: ControlOptions;
      readonly hash: HashFunction;
    },
  ) {
    this.clock = services.get(ServiceName.Clock);
    this.random = services.get(ServiceName.Random);
    this.log = services.get(ServiceName.Log);
    this.metrics = services.get(ServiceName.Metrics);
    this.table = services.get(ServiceName.PlatformTable);
    this.directory = services.get(ServiceName.VmDirectory);
    this.transport = services.get(ServiceName.PeerTransport);
    this.membership = services.get(ServiceName.Membership);
    this.options = options;
    this.hash = hash;
    this.permit = new OwnPermit(options.permitDurationMs);
  }

  selfId(): DaemonId {
    return this.membership.self().daemonId;
  }

  /** Undefined while another daemon is the coordinator. */
  tryGetCoordinator(): Coordinator | undefined {
    return this.#coordinator;
  }

  /**
   * Makes this daemon the coordinator. From now on its own authority limits
   * its permit, so the permit from its parent is discarded.
   */
  beginCoordinating(coordinator: Coordinator): void {
    this.#coordinator = coordinator;
    this.permit.clear();
    this.log.write(LogEvent.BecameCoordinator, { epoch: coordinator.epoch() });
  }

  /** Makes this daemon a follower again; does nothing when it is one. */
  stopCoordinating(cause: string): void {
    const coordinator = this.#coordinator;
    if (coordinator === undefined) return;
    this.log.write(LogEvent.StoppedCoordinating, {
      epoch: coordinator.epoch(),
      cause,
    });
    coordinator.authority.relinquish();
    this.#coordinator = undefined;
  }

  /** Replaces the view of the coordinator unless the given one is older. */
  updateView(view: CoordinatorView): void {
    const before = this.follower.view();
    if (this.follower.updateView(view)) {
      this.log.write(LogEvent.CoordinatorChanged, {
        epoch: view.epoch,
        holder: view.holderId,
      });
    }
    if (this.follower.view() === before) return;
    this.membership.setRecordedMembers(view.members);
    if (!this.follower.isHolder(this.selfId())) {
      this.stopCoordinating("another daemon took the lease");
    }
  }

  /** Local instant until which this daemon may send requests to its servers. */
  permitExpiresAtMs(): number {
    const coordinator = this.#coordinator;
    if (coordinator === undefined) return this.permit.expiresAtMs();
    return coordinator.permitExpiresAtMs(this.clock.nowMs());
  }

  /** The pending releases that this daemon can confirm, by row version. */
  ownReleases(): readonly ReleaseReport[] {
    const daemonId = this.selfId();
    return this.assignments.rows()
      .filter((row) => row.pendingReleases.some((p) => p.daemonId === daemonId))
      .filter((row) => this.inFlightSource?.isReleased(row) ?? true)
      .map(({ service, version }) => ({ daemonId, service, version }));
  }
}
