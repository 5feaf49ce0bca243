/**
 * The task for one server that holds, or has held, keys of a service: it sends
 * grants, renewals and releases to the server. The task sends them one after
 * the other, so that a renewal never overtakes a release; the answer to a
 * release is awaited concurrently with later renewals.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import {
  KeyCommandEnding,
  type KeyCommandOptions,
  type KeyCommandResult,
} from "../../host/server_link.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import { incarnationOf, type ServerEntry } from "../../types/routing.ts";
import type { ServerRef } from "./fleet_rows.ts";
import {
  type Hold,
  isGrantable,
  type KeyRange,
  type KeyRanges,
} from "./key_ranges.ts";
import {
  clockDriftFactor,
  deliverySlackMs,
  grantTimeoutMs,
} from "./hold_timing.ts";
import type { ServiceGranterOptions } from "./service_granter.ts";

/** How many times per renewal interval a task checks its ranges. */
const checksPerRenewal = 3;
/** Timeout of a release; servers answer once the in-flight requests for the keys have ended. */
const releaseTimeoutMs = 3_000;
/** Delay after a failed grant or release. */
const retryDelayMs = 200;
/** The task of a server without keys ends after this time. */
const idleLifetimeMs = 2_000;

/** Options of a holder task. */
export interface HolderTaskOptions extends ServiceGranterOptions {
  readonly server: ServerRef;
  readonly ranges: KeyRanges;
  /** Called after each answer that allows the service's next step, such as a grant to the next owner. */
  readonly onProgress: () => void;
}

/** Sends grants and releases to one server. */
export class HolderTask {
  /** Resolves when the task has ended. */
  readonly ended: Promise<void>;
  readonly #services: ServiceLookup;
  readonly #options: HolderTaskOptions;
  readonly #wake = new ChangeSignal();
  readonly #incarnation: string;
  readonly #renewedAtMs = new WeakMap<Hold, number>();
  readonly #releasing = new WeakSet<Hold>();
  #isFailing = false;

  constructor(services: ServiceLookup, options: HolderTaskOptions) {
    this.#services = services;
    this.#options = options;
    this.#incarnation = incarnationOf(options.server);
    this.ended = this.#run();
  }

  /** Checks the ranges without waiting for the next interval. */
  wake(): void {
    this.#wake.notify();
  }

  /** Renews every hold immediately. */
  renewAll(): void {
    for (const { hold } of this.#options.ranges.heldBy(this.#incarnation)) {
      if (hold !== undefined) this.#renewedAtMs.delete(hold);
    }
    this.#wake.notify();
  }

  async #run(): Promise<void> {
    const { signal, ranges } = this.#options;
    const clock = this.#services.get(ServiceName.Clock);
    let lastUsedAtMs = clock.nowMs();
    while (!signal.aborted) {
      const seenCount = this.#wake.notifyCount;
      let hasKeys = false;
      for (const range of ranges.heldBy(this.#incarnation)) {
        if (signal.aborted) return;
        if (!ranges.isCurrent(range)) continue;
        if (this.#belongsToServer(range.hold)) {
          hasKeys = true;
          await this.#grantIfDue(range, range.hold!);
        }
        for (const hold of range.formerHolds) {
          if (!this.#belongsToServer(hold)) continue;
          hasKeys = true;
          this.#startRelease(range, hold);
        }
      }
      const nowMs = clock.nowMs();
      if (hasKeys) lastUsedAtMs = nowMs;
      else if (nowMs - lastUsedAtMs > idleLifetimeMs) return;
      await this.#wake.waitAtMost(clock, {
        durationMs: this.#isFailing
          ? retryDelayMs
          : this.#options.holdTiming().renewIntervalMs / checksPerRenewal,
        seenCount,
        signal,
      });
    }
  }

  #belongsToServer(hold: Hold | undefined): boolean {
    return hold !== undefined &&
      incarnationOf(hold.server) === this.#incarnation;
  }

  async #grantIfDue(range: KeyRange, hold: Hold): Promise<void> {
    const clock = this.#services.get(ServiceName.Clock);
    if (!isGrantable(range) || !range.isRecorded) return;
    if (clock.nowMs() < this.#options.ranges.blockedUntilMs) return;
    if (!this.#isServerRegistered()) return;
    const renewedAtMs = this.#renewedAtMs.get(hold);
    const isDue = !range.isGranted || renewedAtMs === undefined ||
      clock.nowMs() - renewedAtMs >= this.#options.holdTiming().renewIntervalMs;
    if (isDue) await this.#grant(range, hold);
  }

  /**
   * Grants a range or renews its grant. A renewal has a fence of its own as
   * well: the command names the server but not its incarnation, so that one
   * which started a moment ago may accept it.
   */
  async #grant(range: KeyRange, hold: Hold): Promise<void> {
    const clock = this.#services.get(ServiceName.Clock);
    const holdMs = this.#options.holdTiming().durationMs;
    const sentAtMs = clock.nowMs();
    const endsAtMs = sentAtMs + grantTimeoutMs + holdMs * clockDriftFactor +
      deliverySlackMs;
    const before = { ...hold };
    this.#options.ranges.raiseFence(range);
    const { fence } = range;
    hold.endsAtMs = Math.max(hold.endsAtMs, endsAtMs);
    hold.unansweredEndsAtMs = Math.max(hold.unansweredEndsAtMs, endsAtMs);
    const result = await this.#services.get(ServiceName.ServerLink).grant(
      this.#toEntry(),
      {
        first: range.first,
        last: range.last,
        fence,
        holdMs,
        handoverToken: range.handoverToken,
      },
      this.#commandOptions(grantTimeoutMs, () => this.#isServerRegistered()),
    );
    this.#noteResult(LogEvent.GrantFailed, range, result);
    switch (result.ending) {
      case KeyCommandEnding.Accepted:
        // The server refuses the unanswered grants, whose fences are lower.
        hold.unansweredEndsAtMs = -Infinity;
        this.#renewedAtMs.set(hold, sentAtMs);
        if (range.isGranted) return;
        this.#services.get(ServiceName.Log).write(LogEvent.RangeGranted, {
          service: this.#options.service,
          server: this.#options.server.id,
          first: range.first,
          last: range.last,
          fence,
          holdMs,
          hasHandover: range.handoverToken !== undefined,
        });
        range.isGranted = true;
        range.handoverToken = undefined;
        this.#options.onProgress();
        return;
      case KeyCommandEnding.Fenced:
      case KeyCommandEnding.Refused:
        hold.endsAtMs = before.endsAtMs;
        hold.unansweredEndsAtMs = before.unansweredEndsAtMs;
        return;
      case KeyCommandEnding.Unknown:
        return;
    }
  }

  /** Starts the release of a hold unless it is in progress; a failed release is repeated at the next check. */
  #startRelease(range: KeyRange, hold: Hold): void {
    if (hold.isReleased || this.#releasing.has(hold)) return;
    this.#releasing.add(hold);
    void this.#release(range, hold).finally(() => this.#releasing.delete(hold));
  }

  async #release(range: KeyRange, hold: Hold): Promise<void> {
    const clock = this.#services.get(ServiceName.Clock);
    const result = await this.#services.get(ServiceName.ServerLink).release(
      this.#toEntry(),
      { first: range.first, last: range.last, fence: range.fence },
      this.#commandOptions(
        releaseTimeoutMs,
        () => this.#options.ranges.isWaitedFor(hold),
      ),
    );
    this.#noteResult(LogEvent.ReleaseFailed, range, result);
    if (result.ending !== KeyCommandEnding.Accepted) {
      await clock.sleep(retryDelayMs, this.#options.signal);
      return;
    }
    hold.isReleased = true;
    range.handoverToken = result.handoverToken ?? range.handoverToken;
    this.#options.onProgress();
  }

  /**
   * Options of a command that is due as long as `isStillDue`. A later
   * incarnation may have the address by the time that a connection is
   * established, and it knows no fences.
   */
  #commandOptions(
    timeoutMs: number,
    isStillDue: () => boolean,
  ): KeyCommandOptions {
    const { lease, signal } = this.#options;
    return {
      timeoutMs,
      mayStillSend: () => !signal.aborted && lease.isHeld() && isStillDue(),
    };
  }

  /** Whether the directory lists this incarnation of the server. */
  #isServerRegistered(): boolean {
    const { id, bornAtMs } = this.#options.server;
    return this.#services.get(ServiceName.Directory).tryGet(id)?.bornAtMs ===
      bornAtMs;
  }

  #toEntry(): ServerEntry {
    return {
      ...this.#options.server,
      service: this.#options.service,
      zone: "",
      slotCount: 1,
      isDraining: false,
    };
  }

  #noteResult(
    event: LogEvent.GrantFailed | LogEvent.ReleaseFailed,
    range: KeyRange,
    result: KeyCommandResult,
  ): void {
    if (result.isLeaving === true) {
      this.#services.get(ServiceName.Directory).noteLeaving(this.#incarnation);
    }
    const hasFailed = result.ending !== KeyCommandEnding.Accepted;
    if (hasFailed && !this.#isFailing) {
      this.#services.get(ServiceName.Log).write(event, {
        service: this.#options.service,
        server: this.#options.server.id,
        peer: this.#options.server.address,
        first: range.first,
        last: range.last,
        fence: range.fence,
        ending: result.ending,
        reason: result.detail,
      });
    }
    this.#isFailing = hasFailed;
  }
}
