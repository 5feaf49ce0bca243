/**
 * Competes for the lease of the key granter, and grants keys to backend servers
 * while this daemon holds the lease.
 */
import { randomUUID } from "node:crypto";
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import { CounterName } from "../metrics/metrics.ts";
import { encodeJson, fleetTable, granterRowKey } from "./fleet_rows.ts";
import { GranterLease, leaseDurationMs, LeaseState } from "./granter_lease.ts";
import { GranterTerm } from "./granter_term.ts";
import { KeyGranter } from "./key_granter.ts";
import type { LoadReport } from "./load_reports.ts";

/** Time between renewals of the lease; the lease outlasts two failed renewals. */
const renewIntervalMs = 750;
/** A renewal that takes longer than this may be the start of an outage. */
const slowRenewalMs = 350;
/** Delay after a failed renewal. */
const renewRetryDelayMs = 150;
/** Mean time between two polls of the lease by any daemon of the fleet. */
const fleetPollIntervalMs = 500;
/** Maximum time between two polls by one daemon; failed sync requests reveal a lost holder sooner. */
const maxPollIntervalMs = 60_000;
/** Random delay, times the number of comparable daemons, when all daemons poll the lease at the same time: at the start, or after the loss of the holder. */
const pollSpreadPerDaemonMs = { atStart: 20, afterLoss: 100 };
/**
 * Additional delay of a daemon when another daemon has far more cores, so that
 * the other daemon acquires the lease first. After a loss it outlasts the rest
 * of the lost holder's lease and two polls of the other daemon: a daemon with a
 * quarter of a core cannot grant keys for a fleet of 200.
 */
const weakerDaemonDelayMs = { atStart: 700, afterLoss: 4_000 };

/** Grants keys in the daemon that holds the lease. */
export class LeasedKeyGranter extends KeyGranter {
  /** `host:port` under which peers reach this daemon. */
  readonly #peerAddress: string;
  readonly #isFirstStart: boolean;
  readonly #fenceLimit: number | undefined;
  readonly #stopping = new AbortController();
  readonly #wake = new ChangeSignal();
  #term: GranterTerm | undefined;
  #isLeaseHolderSuspected = false;
  #task: Promise<void> = Promise.resolve();

  constructor(
    options: {
      readonly peerAddress: string;
      /** Number of fences after which a term ends; defaults to nearly all fences of a term. */
      readonly fenceLimit?: number | undefined;
      /** Whether the whole fleet starts for the first time. */
      readonly isFirstStart?: boolean;
    },
  ) {
    super();
    this.#peerAddress = options.peerAddress;
    this.#isFirstStart = options.isFirstStart ?? true;
    this.#fenceLimit = options.fenceLimit;
  }

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.RowStore,
      ServiceName.TableFeed,
      ServiceName.ServerLink,
      ServiceName.Routing,
      ServiceName.Directory,
      ServiceName.KeySpace,
      ServiceName.ColdServers,
      ServiceName.Capacities,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#task = this.#compete(services);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#stopping.abort();
    return this.#task;
  }

  override async resign(): Promise<void> {
    await this.stop();
  }

  override isActive(): boolean {
    return this.#term !== undefined;
  }

  override addLoad(report: LoadReport): boolean {
    this.#term?.addLoad(report);
    return this.#term !== undefined;
  }

  override suspectLeaseHolder(): void {
    this.#isLeaseHolderSuspected = true;
    this.#wake.notify();
  }

  async #compete(services: ServiceLookup): Promise<void> {
    const { signal } = this.#stopping;
    const log = services.get(ServiceName.Log);
    const lease = new GranterLease(services, {
      holder: randomUUID(),
      isFirstStart: this.#isFirstStart,
    });
    while (!signal.aborted) {
      const isDue = await this.#waitForPoll(services);
      if (signal.aborted) return;
      if (!isDue) continue;
      const acquired = await lease.tryAcquire();
      if (acquired.isErr()) {
        log.write(LogEvent.LeaseReadFailed, { error: acquired.error.message });
        continue;
      }
      if (acquired.value !== LeaseState.Held) continue;
      await this.#runTerm(services, lease);
    }
  }

  /**
   * Waits for this daemon's next poll of the lease, so that the polls of the
   * whole fleet are spread evenly; returns false when no poll is needed.
   */
  async #waitForPoll(services: ServiceLookup): Promise<boolean> {
    const clock = services.get(ServiceName.Clock);
    const random = services.get(ServiceName.Random);
    const keySpace = services.get(ServiceName.KeySpace);
    const { signal } = this.#stopping;
    const seenCount = this.#wake.notifyCount;
    const pollIntervalMs = Math.min(
      maxPollIntervalMs,
      fleetPollIntervalMs * keySpace.daemonCount(),
    );
    const isFirst = keySpace.granter() === undefined;
    const durationMs = isFirst
      ? fleetPollIntervalMs
      : pollIntervalMs * (0.5 + random.nextFraction());
    await this.#wake.waitAtMost(clock, { durationMs, seenCount, signal });
    if (!isFirst && !this.#isLeaseHolderSuspected) {
      // A released or expired lease is left to the daemons with many cores.
      return !keySpace.hasStrongerDaemon();
    }
    this.#isLeaseHolderSuspected = false;
    const granterBefore = keySpace.granter();
    const occasion = isFirst ? "atStart" : "afterLoss";
    const spreadMs = pollSpreadPerDaemonMs[occasion] *
      keySpace.comparableDaemonCount() * random.nextFraction();
    const weakerDelayMs = keySpace.hasStrongerDaemon()
      ? weakerDaemonDelayMs[occasion]
      : 0;
    await clock.sleep(spreadMs + weakerDelayMs, signal);
    // Another daemon may have acquired the lease in the meantime.
    return keySpace.granter()?.term === granterBefore?.term;
  }

  /** Grants keys in one term, and in those that follow it because the store began a new era. */
  async #runTerm(services: ServiceLookup, lease: GranterLease): Promise<void> {
    let before: GranterTerm | undefined;
    for (;;) {
      const term: GranterTerm = new GranterTerm(services, lease, {
        fenceLimit: this.#fenceLimit,
        before,
      });
      services.get(ServiceName.Log)
        .write(LogEvent.KeyGranterTermBegun, {
          term: lease.term,
          era: lease.era,
          isContinued: before !== undefined,
        });
      services.get(ServiceName.Metrics).count(CounterName.CoordinatorTakeovers);
      await this.#announce(services, lease);
      this.#term = term;
      // The other daemons get their tables from this one also while it takes
      // the lease again, so that they do not all read the store.
      services.get(ServiceName.TableFeed).setActsAsRelay(true);
      await this.#grantUntilLost(services, { lease, term });
      if (!await this.#continueInNewEra(services, lease)) break;
      before = term;
    }
    this.#stopActing(services);
  }

  #stopActing(services: ServiceLookup): void {
    this.#term = undefined;
    services.get(ServiceName.TableFeed).setActsAsRelay(false);
  }

  /** Takes the lease again after the store began a new era; false if another daemon may have acted since. */
  async #continueInNewEra(
    services: ServiceLookup,
    lease: GranterLease,
  ): Promise<boolean> {
    const { signal } = this.#stopping;
    if (signal.aborted || !lease.canContinue()) return false;
    const continued = await lease.continue();
    if (continued.isOk()) return continued.value === LeaseState.Held;
    services.get(ServiceName.Log).write(LogEvent.LeaseReadFailed, {
      error: continued.error.message,
    });
    return false;
  }

  /** Grants keys until the lease is lost, the term is exhausted, or the daemon stops. */
  async #grantUntilLost(
    services: ServiceLookup,
    { lease, term }: {
      readonly lease: GranterLease;
      readonly term: GranterTerm;
    },
  ): Promise<void> {
    const { signal } = this.#stopping;
    const log = services.get(ServiceName.Log);
    const clock = services.get(ServiceName.Clock);
    const { eras } = services.get(ServiceName.RowStore);
    const running = term.run();
    let isOver = lease.isUndone();
    while (!signal.aborted && !isOver && !term.isExhausted) {
      await eras.changed.waitAtMost(clock, {
        durationMs: lease.mayHaveBeenSuspended() ? 0 : renewIntervalMs,
        seenCount: eras.changed.notifyCount,
        signal,
      });
      isOver = signal.aborted || lease.isUndone() ||
        await this.#renew(services, { lease, term });
    }
    const isUndone = lease.isUndone();
    if (!isUndone) this.#stopActing(services);
    await term.end();
    await running;
    if (!isUndone && (signal.aborted || term.isExhausted)) {
      await lease.release();
    }
    log.write(LogEvent.KeyGranterTermEnded, {
      reason: signal.aborted
        ? "daemon leaves"
        : isUndone
        ? "new era of the store"
        : term.isExhausted
        ? "fences used up"
        : "lease lost",
    });
  }

  /** Repeats the renewal until it succeeds; returns true when the lease is lost or the daemon stops. */
  async #renew(
    services: ServiceLookup,
    { lease, term }: {
      readonly lease: GranterLease;
      readonly term: GranterTerm;
    },
  ): Promise<boolean> {
    const { signal } = this.#stopping;
    const log = services.get(ServiceName.Log);
    const clock = services.get(ServiceName.Clock);
    while (!signal.aborted && !lease.isUndone()) {
      const cancelTimer = clock.after(
        slowRenewalMs,
        () => term.prolongHolds(),
      );
      const renewed = await lease.renew();
      cancelTimer();
      if (renewed.isErr()) {
        term.prolongHolds();
        log.write(LogEvent.LeaseRenewalFailed, {
          error: renewed.error.message,
          term: lease.term,
        });
        if (lease.hasExpired()) return true;
        await clock.sleep(renewRetryDelayMs, signal);
        continue;
      }
      switch (renewed.value) {
        case LeaseState.Held:
          term.restoreHoldTiming();
          return false;
        case LeaseState.Outdated:
          continue;
        case LeaseState.HeldByOther:
          return true;
      }
    }
    return true;
  }

  /** Publishes this daemon's address as the key granter's, to which the fleet sends load reports. */
  async #announce(
    services: ServiceLookup,
    lease: GranterLease,
  ): Promise<void> {
    const value = encodeJson({ term: lease.term, address: this.#peerAddress });
    const written = await lease.renew([
      { table: fleetTable, key: granterRowKey(), value },
    ]);
    if (written.isErr()) {
      services.get(ServiceName.Log).write(LogEvent.GranterAnnouncementFailed, {
        error: written.error.message,
        retryWithinMs: leaseDurationMs,
      });
    }
  }
}
