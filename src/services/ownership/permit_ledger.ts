/**
 * The coordinator's record of how long the permits that it gave may last.
 *
 * A permit comes with every assignment that its giver holds. So a right that
 * version `v` withdrew lapses everywhere one permit duration after the
 * coordinator began to hand out `v`; sooner for a daemon whose last permit the
 * coordinator gave itself and dated.
 */
import type { DaemonId } from "../../types/types.ts";
import { permitOverhangMs } from "./control_options.ts";

/** Dates permits by the coordinator's monotonic clock. */
export class PermitLedger {
  readonly #permitDurationMs: number;
  readonly #lapseAtMs = new Map<DaemonId, number>();
  readonly #indirect = new Set<DaemonId>();
  readonly #inheritedLapseAtMs: number;
  readonly #previousHolderId: DaemonId | undefined;

  /**
   * `previousEndedAtMs` is the instant at which the previous coordinator had
   * certainly lost its authority; permits that it gave outlast that by at most
   * the overhang.
   */
  constructor(options: {
    readonly permitDurationMs: number;
    readonly previousEndedAtMs: number;
    readonly previousHolderId: DaemonId | undefined;
  }) {
    this.#permitDurationMs = options.permitDurationMs;
    this.#inheritedLapseAtMs = options.previousEndedAtMs + permitOverhangMs;
    this.#previousHolderId = options.previousHolderId;
  }

  /**
   * Records a permit that this daemon is about to give, and returns its
   * duration: shorter when the authority behind it is about to end.
   */
  grant(
    daemonId: DaemonId,
    { nowMs, authorityEndsAtMs }: {
      readonly nowMs: number;
      readonly authorityEndsAtMs: number;
    },
  ): number {
    const durationMs = Math.min(
      this.#permitDurationMs,
      authorityEndsAtMs - nowMs + permitOverhangMs,
    );
    this.#extend(daemonId, nowMs + durationMs);
    return durationMs;
  }

  /**
   * Names the daemons that receive permits from a parent. One that no longer
   * does may hold a permit of its former parent for one duration more.
   */
  setIndirect(daemonIds: ReadonlySet<DaemonId>, nowMs: number): void {
    for (const daemonId of this.#indirect) {
      if (daemonIds.has(daemonId)) continue;
      this.#extend(daemonId, nowMs + this.#permitDurationMs);
    }
    this.#indirect.clear();
    for (const daemonId of daemonIds) this.#indirect.add(daemonId);
  }

  /**
   * Local instant at which every permit of a daemon for versions below the
   * one handed out since `handedOutAtMs` has lapsed.
   */
  lapseAtMs(daemonId: DaemonId, handedOutAtMs: number): number {
    const general = handedOutAtMs + this.#permitDurationMs;
    if (this.#indirect.has(daemonId)) return general;
    const inherited = daemonId === this.#previousHolderId
      ? Number.NEGATIVE_INFINITY
      : this.#inheritedLapseAtMs;
    const dated = this.#lapseAtMs.get(daemonId) ?? inherited;
    return Math.min(general, Math.max(dated, inherited));
  }

  #extend(daemonId: DaemonId, lapseAtMs: number): void {
    const known = this.#lapseAtMs.get(daemonId) ?? Number.NEGATIVE_INFINITY;
    this.#lapseAtMs.set(daemonId, Math.max(known, lapseAtMs));
  }
}
