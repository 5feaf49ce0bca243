/**
 * The contents of the reports that the coordinator received since it took the
 * lease. They are kept in memory only, because a new coordinator receives them
 * again within one sync interval.
 */
import type { BackendServerState } from "../../types/enums.ts";
import type { DaemonId, DaemonInfo, ServerId } from "../../types/types.ts";
import type { KeyRate, ServerObservation } from "./ownership.ts";
import type { ServiceRates } from "./placement_service_rates.ts";
import type { RelayedReport } from "./report_relay.ts";
import type { HeardDaemon, ReleaseReport } from "./sync_messages.ts";

/** Weight of the newest request rate in the smoothed rate, between 0 and 1. */
const newestRateWeight = 0.3;

/** The observed state and load of one backend server. */
export interface ServerStats {
  readonly state: BackendServerState;
  readonly requestsPerSecond: number;
  readonly hotKeys: readonly KeyRate[];
  readonly observedAtMs: number;
}

interface DaemonContact {
  readonly daemon: DaemonInfo;
  readonly heardAtMs: number;
}

/** Collects reports of daemons, releases and backend servers. */
export class FleetView {
  readonly #daemons = new Map<DaemonId, DaemonContact>();
  readonly #releases = new Map<string, number>();
  readonly #servers = new Map<ServerId, ServerStats>();
  readonly #rates: ReadonlyMap<string, ServiceRates>;

  /** The observations of a service are recorded in its entry of `rates`. */
  constructor(rates: ReadonlyMap<string, ServiceRates>) {
    this.#rates = rates;
  }

  /** Records that a daemon was heard, or assumed to be live, at an instant. */
  markHeard(daemon: DaemonInfo, heardAtMs: number): void {
    const known = this.#daemons.get(daemon.daemonId);
    this.#daemons.set(daemon.daemonId, {
      daemon,
      heardAtMs: Math.max(heardAtMs, known?.heardAtMs ?? heardAtMs),
    });
  }

  /** Records a report; ignores an observation not made by the server's home. */
  recordReport(
    report: RelayedReport,
    { nowMs, isHomeOf }: {
      readonly nowMs: number;
      readonly isHomeOf: (daemonId: DaemonId, serverId: ServerId) => boolean;
    },
  ): void {
    for (const { daemon } of report.heard as readonly HeardDaemon[]) {
      this.markHeard(daemon, nowMs);
    }
    for (const release of report.releases) this.#recordRelease(release);
    for (const { observerId, observation } of report.observations) {
      if (!isHomeOf(observerId, observation.serverId)) continue;
      this.#recordObservation(observation, nowMs);
    }
  }

  /** The daemons heard after `sinceAtMs`, ordered by identifier. */
  listHeardSince(sinceAtMs: number): readonly DaemonInfo[] {
    return [...this.#daemons.values()]
      .filter(({ heardAtMs }) => heardAtMs > sinceAtMs)
      .map(({ daemon }) => daemon)
      .sort((a, b) => a.daemonId < b.daemonId ? -1 : 1);
  }

  /** Whether a home released everything that `version` withdrew from it. */
  hasReleased(daemonId: DaemonId, service: string, version: number): boolean {
    return (this.#releases.get(`${daemonId}/${service}`) ?? 0) >= version;
  }

  /** Undefined before the first observation of the server. */
  tryGetServer(serverId: ServerId): ServerStats | undefined {
    return this.#servers.get(serverId);
  }

  /** Removes servers that the platform no longer lists. */
  retainServers(serverIds: ReadonlySet<ServerId>): void {
    for (const serverId of this.#servers.keys()) {
      if (!serverIds.has(serverId)) this.#servers.delete(serverId);
    }
    for (const rates of this.#rates.values()) rates.retainServers(serverIds);
  }

  #recordRelease({ daemonId, service, version }: ReleaseReport): void {
    const releaseKey = `${daemonId}/${service}`;
    const known = this.#releases.get(releaseKey) ?? 0;
    this.#releases.set(releaseKey, Math.max(known, version));
  }

  #recordObservation(observation: ServerObservation, nowMs: number): void {
    this.#rates.get(observation.service)?.record(observation);
    const known = this.#servers.get(observation.serverId);
    const elapsedMs = nowMs - (known?.observedAtMs ?? nowMs);
    const before = known?.requestsPerSecond ?? 0;
    const rate = elapsedMs > 0
      ? observation.completedCount / elapsedMs * 1_000
      : before;
    this.#servers.set(observation.serverId, {
      state: observation.state,
      requestsPerSecond: before + (rate - before) * newestRateWeight,
      hotKeys: observation.hotKeys,
      observedAtMs: nowMs,
    });
  }
}
