/**
 * Decides when a daemon reads the row that names the lists in force. The
 * coordinator reads the row often. A daemon that follows the coordinator learns
 * of changes by announcement, and otherwise reads the row only rarely, in case
 * it missed an announcement. A daemon without a coordinator polls the row, at
 * an interval that limits the reads of the whole fleet.
 */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";

const minPollIntervalMs = 2_000;
/** Limit on the reads of all daemons together while there is no coordinator. */
const maxFleetReadsPerSecond = 100;
/** Longest time without a read while a daemon relies on announcements. */
const maxReadIntervalMs = 60_000;
const jitterFraction = 0.2;
const minRetryIntervalMs = 500;
/** Maximum random delay of a read after an announcement, times the number of daemons, so that the fleet does not read all at once. */
const announcedReadSpreadPerDaemonMs = 3;

/** Returns the interval between polls by a daemon without a coordinator, before jitter. */
export function computePollIntervalMs(daemonCount: number): number {
  return Math.max(minPollIntervalMs, computeRateLimitedIntervalMs(daemonCount));
}

/** Returns the poll interval at which the whole fleet makes `maxFleetReadsPerSecond` reads. */
function computeRateLimitedIntervalMs(daemonCount: number): number {
  const millisecondsPerSecond = 1_000;
  return daemonCount * millisecondsPerSecond / maxFleetReadsPerSecond;
}

/** Schedules the reads of one daemon. */
export class RefreshSchedule {
  readonly #services: ServiceLookup;
  #lastReadAtMs: number;
  #hasRead = false;
  #isPlatformReached = false;

  constructor(services: ServiceLookup) {
    this.#services = services;
    this.#lastReadAtMs = services.get(ServiceName.Clock).nowMs();
  }

  /** Records that an attempt to read has ended, and whether the platform answered. */
  recordRead(isAnswered: boolean): void {
    this.#hasRead ||= isAnswered;
    this.#isPlatformReached = isAnswered;
    this.#lastReadAtMs = this.#services.get(ServiceName.Clock).nowMs();
  }

  /** Whether the row is to be read although no newer version was announced. */
  isReadDue(): boolean {
    if (!this.#hasRead || !this.#followsCoordinator()) return true;
    const nowMs = this.#services.get(ServiceName.Clock).nowMs();
    return nowMs - this.#lastReadAtMs >= maxReadIntervalMs;
  }

  /** Returns the time until `isReadDue` is to be checked again. */
  nextDelayMs(): number {
    if (!this.#isPlatformReached) {
      const boundedMs = computeRateLimitedIntervalMs(this.#daemonCount());
      return Math.max(minRetryIntervalMs, boundedMs);
    }
    if (this.#isCoordinator()) return minPollIntervalMs;
    const jitter = (this.#random() * 2 - 1) * jitterFraction;
    return computePollIntervalMs(this.#daemonCount()) * (1 + jitter);
  }

  /** Returns the delay between an announcement and the read that it causes. */
  announcedDelayMs(): number {
    return this.#random() * this.#daemonCount() *
      announcedReadSpreadPerDaemonMs;
  }

  /** Whether another daemon is the coordinator and its permit holds, so that this daemon receives announcements. */
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
