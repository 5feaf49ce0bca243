/**
 * When a daemon reads the row of the lists. The coordinator reads it often; a
 * daemon that syncs with the coordinator learns of a change by announcement,
 * and reads on its own only as a backstop. One that has lost the coordinator
 * reads at an interval that keeps the reads of the whole fleet bounded.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";

const minPollIntervalMs = 2_000;
/** Reads that the polls of a fleet without coordinator may cost. */
const maxFleetReadsPerSecond = 100;
/** Longest time without a read of one's own. */
const backstopIntervalMs = 60_000;
const jitterFraction = 0.2;
const minRetryIntervalMs = 500;
/** Spreads the reads that follow an announcement over the fleet. */
const announcedReadSpreadMsPerDaemon = 3;

/** The interval between polls without a coordinator, before jitter. */
export function computePollIntervalMs(daemonCount: number): number {
  return Math.max(minPollIntervalMs, computeBoundedIntervalMs(daemonCount));
}

/** The interval at which the whole fleet makes its most reads. */
function computeBoundedIntervalMs(daemonCount: number): number {
  const millisecondsPerSecond = 1_000;
  return daemonCount * millisecondsPerSecond / maxFleetReadsPerSecond;
}

/** Decides on the reads of one daemon. */
export class RefreshSchedule {
  readonly #services: ServiceLookup;
  #lastReadAtMs: number;
  #hasRead = false;
  #isReached = false;

  constructor(services: ServiceLookup) {
    this.#services = services;
    this.#lastReadAtMs = services.get(ServiceName.Clock).nowMs();
  }

  /** Notes the end of an attempt to read. */
  noteRead(isReached: boolean): void {
    this.#hasRead ||= isReached;
    this.#isReached = isReached;
    this.#lastReadAtMs = this.#services.get(ServiceName.Clock).nowMs();
  }

  /** Whether to read without an announcement. */
  isReadDue(): boolean {
    if (!this.#hasRead || !this.#followsCoordinator()) return true;
    const nowMs = this.#services.get(ServiceName.Clock).nowMs();
    return nowMs - this.#lastReadAtMs >= backstopIntervalMs;
  }

  /** Time until the next look. */
  nextDelayMs(): number {
    if (!this.#isReached) {
      const boundedMs = computeBoundedIntervalMs(this.#daemonCount());
      return Math.max(minRetryIntervalMs, boundedMs);
    }
    if (this.#isCoordinator()) return minPollIntervalMs;
    const jitter = (this.#random() * 2 - 1) * jitterFraction;
    return computePollIntervalMs(this.#daemonCount()) * (1 + jitter);
  }

  /** Time from an announcement to the read that it causes. */
  announcedDelayMs(): number {
    return this.#random() * this.#daemonCount() *
      announcedReadSpreadMsPerDaemon;
  }

  /** Whether announcements reach this daemon from another coordinator. */
  #followsCoordinator(): boolean {
    const coordinator = this.#coordinator();
    return coordinator !== undefined && coordinator.permitRemainingMs > 0 &&
      !this.#isCoordinator();
  }

  #isCoordinator(): boolean {
    const { daemonId } = this.#services.get(ServiceName.Membership).self();
    return this.#coordinator()?.daemonId === daemonId;
  }

  #coordinator() {
    return this.#services.tryGet(ServiceName.Ownership)?.coordinator();
  }

  #daemonCount(): number {
    return this.#services.get(ServiceName.Membership).daemons().length;
  }

  #random(): number {
    return this.#services.get(ServiceName.Random).nextFraction();
  }
}
