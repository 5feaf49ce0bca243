/**
 * Tracks when the permits of daemons expire, for the coordinator.
 *
 * An answer that grants a permit also carries every newer assignment of the
 * granting daemon. A right that version `v` withdrew therefore expires on every
 * daemon at most one permit duration after the coordinator began to publish
 * `v`. It expires sooner on a daemon whose last permit the coordinator granted
 * itself, because the ledger records when that permit ends.
 */
import type { DaemonId } from "../../types/types.ts";
import { permitOverrunMs } from "./control_options.ts";

/** Records the end of permits by the coordinator's monotonic clock. */
export class PermitLedger {
  readonly #permitDurationMs: number;
  readonly #expiresAtMs = new Map<DaemonId, number>();
  readonly #indirect = new Set<DaemonId>();
  readonly #inheritedExpiresAtMs: number;
  readonly #previousHolderId: DaemonId | undefined;

  /**
   * `previousEndedAtMs` is an instant by which the previous coordinator had
   * lost its authority. The permits that it granted outlast that instant by at
   * most `permitOverrunMs`.
   */
  constructor(options: {
    readonly permitDurationMs: number;
    readonly previousEndedAtMs: number;
    readonly previousHolderId: DaemonId | undefined;
  }) {
    this.#permitDurationMs = options.permitDurationMs;
    this.#inheritedExpiresAtMs = options.previousEndedAtMs + permitOverrunMs;
    this.#previousHolderId = options.previousHolderId;
  }

  /**
   * Records a permit that this daemon is about to grant, and returns its
   * duration, which is shortened when the authority is about to end.
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
      authorityEndsAtMs - nowMs + permitOverrunMs,
    );
    this.#extend(daemonId, nowMs + durationMs);
    return durationMs;
  }

  /**
   * Sets the daemons that receive permits from a parent other than the
   * coordinator. A daemon that is no longer among them may hold a permit from
   * its former parent for one more permit duration.
   */
  setIndirectDaemons(daemonIds: ReadonlySet<DaemonId>, nowMs: number): void {
    for (const daemonId of this.#indirect) {
      if (daemonIds.has(daemonId)) continue;
      this.#extend(daemonId, nowMs + this.#permitDurationMs);
    }
    this.#indirect.clear();
    for (const daemonId of daemonIds) this.#indirect.add(daemonId);
  }

  /**
   * Local instant at which the daemon's permits for versions older than the one
   * published since `publishedAtMs` have expired.
   */
  expiresAtMs(daemonId: DaemonId, publishedAtMs: number): number {
    const versionExpiresAtMs = publishedAtMs + this.#permitDurationMs;
    if (this.#indirect.has(daemonId)) return versionExpiresAtMs;
    const inheritedExpiresAtMs = daemonId === this.#previousHolderId
      ? Number.NEGATIVE_INFINITY
      : this.#inheritedExpiresAtMs;
    const grantedExpiresAtMs = this.#expiresAtMs.get(daemonId) ??
      inheritedExpiresAtMs;
    return Math.min(
      versionExpiresAtMs,
      Math.max(grantedExpiresAtMs, inheritedExpiresAtMs),
    );
  }

  #extend(daemonId: DaemonId, expiresAtMs: number): void {
    const known = this.#expiresAtMs.get(daemonId) ?? Number.NEGATIVE_INFINITY;
    this.#expiresAtMs.set(daemonId, Math.max(known, expiresAtMs));
  }
}
