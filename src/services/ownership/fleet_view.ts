/**
 * What the coordinator heard from the daemons since it took the lease. It is
 * kept in memory only; a new coordinator hears it all again within one sync.
 */
import type { BackendServerState } from "../../types/enums.ts";
import type { DaemonId, DaemonInfo, ServerId } from "../../types/types.ts";
import type { KeyRate, ServerObservation } from "./ownership.ts";
import type { ServiceRates } from "./placement_service_rates.ts";
import type { RelayedReport } from "./report_relay.ts";
import type { HeardDaemon, ReleaseReport } from "./sync_messages.ts";

/** Weight of the newest rate in the smoothed one. */
const rateSmoothing = 0.3;

/** What is known of one backend server. */
export interface ServerFigures {
  readonly state: BackendServerState;
  readonly requestsPerSecond: number;
  readonly hotKeys: readonly KeyRate[];
  readonly observedAtMs: number;
}

interface DaemonFigures {
  readonly daemon: DaemonInfo;
  readonly heardAtMs: number;
}

/** Gathers reports. */
export class FleetView {
  readonly #daemons = new Map<DaemonId, DaemonFigures>();
  readonly #releases = new Map<string, number>();
  readonly #servers = new Map<ServerId, ServerFigures>();
  readonly #rates: ReadonlyMap<string, ServiceRates>;

  /** `rates` gather what is observed of each service. */
  constructor(rates: ReadonlyMap<string, ServiceRates>) {
    this.#rates = rates;
  }

  /** Notes that a daemon was heard, or assumes it at a given instant. */
  hear(daemon: DaemonInfo, heardAtMs: number): void {
    const known = this.#daemons.get(daemon.daemonId);
    this.#daemons.set(daemon.daemonId, {
      daemon,
      heardAtMs: Math.max(heardAtMs, known?.heardAtMs ?? heardAtMs),
    });
  }

  /** Takes a report; observations count only from a server's present home. */
  record(
    report: RelayedReport,
    { nowMs, isHomeOf }: {
      readonly nowMs: number;
      readonly isHomeOf: (daemonId: DaemonId, serverId: ServerId) => boolean;
    },
  ): void {
    for (const { daemon } of report.heard as readonly HeardDaemon[]) {
      this.hear(daemon, nowMs);
    }
    for (const release of report.releases) this.#release(release);
    for (const { observerId, observation } of report.observations) {
      if (!isHomeOf(observerId, observation.serverId)) continue;
      this.#observe(observation, nowMs);
    }
  }

  /** Every daemon heard after `sinceMs`, ordered by identifier. */
  heardSince(sinceMs: number): readonly DaemonInfo[] {
    return [...this.#daemons.values()]
      .filter(({ heardAtMs }) => heardAtMs > sinceMs)
      .map(({ daemon }) => daemon)
      .sort((a, b) => a.daemonId < b.daemonId ? -1 : 1);
  }

  /** Whether a home released everything that `version` withdrew from it. */
  hasReleased(daemonId: DaemonId, service: string, version: number): boolean {
    return (this.#releases.get(`${daemonId}/${service}`) ?? 0) >= version;
  }

  /** Figures of a backend server; undefined before the first observation. */
  tryGetServer(serverId: ServerId): ServerFigures | undefined {
    return this.#servers.get(serverId);
  }

  /** Forgets servers that the platform no longer lists. */
  retainServers(serverIds: ReadonlySet<ServerId>): void {
    for (const serverId of this.#servers.keys()) {
      if (!serverIds.has(serverId)) this.#servers.delete(serverId);
    }
    for (const rates of this.#rates.values()) rates.retainServers(serverIds);
  }

  #release({ daemonId, service, version }: ReleaseReport): void {
    const subject = `${daemonId}/${service}`;
    const known = this.#releases.get(subject) ?? 0;
    this.#releases.set(subject, Math.max(known, version));
  }

  #observe(observation: ServerObservation, nowMs: number): void {
    this.#rates.get(observation.service)?.record(observation);
    const known = this.#servers.get(observation.serverId);
    const elapsedMs = nowMs - (known?.observedAtMs ?? nowMs);
    const before = known?.requestsPerSecond ?? 0;
    const rate = elapsedMs > 0
      ? observation.completedCount / elapsedMs * 1_000
      : before;
    this.#servers.set(observation.serverId, {
      state: observation.state,
      requestsPerSecond: before + (rate - before) * rateSmoothing,
      hotKeys: observation.hotKeys,
      observedAtMs: nowMs,
    });
  }
}
