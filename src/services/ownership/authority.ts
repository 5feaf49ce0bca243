/**
 * Computes until when this daemon may decide as coordinator. The authority is
 * valid while the daemon's lease row was committed within the lease duration,
 * or while a strict majority of the epoch's members (a quorum) confirmed the
 * epoch within the lease duration. A token is the coordinator's monotonic time
 * at which it sent an answer. A member confirms by returning the newest token
 * it received, so that a delayed report counts from when the token was issued,
 * not from when the report arrived.
 */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";
import type { CoordinatorView } from "./sync_messages.ts";

/** Tracks the authority of the coordinator for one epoch at a time. */
export class Authority {
  readonly #selfId: DaemonId;
  readonly #leaseDurationMs: number;
  readonly #tokens = new Map<DaemonId, number>();
  #epoch = 0;
  #rowExpiresAtMs = Number.NEGATIVE_INFINITY;
  #membersLists: readonly (readonly DaemonInfo[])[] = [];

  constructor(selfId: DaemonId, leaseDurationMs: number) {
    this.#selfId = selfId;
    this.#leaseDurationMs = leaseDurationMs;
  }

  /** The epoch of this daemon's lease; 0 when the daemon holds no lease. */
  epoch(): number {
    return this.#epoch;
  }

  /**
   * Records a committed lease row. `sentAtMs` is the local instant just before
   * the write was sent.
   */
  confirmRow(view: CoordinatorView, sentAtMs: number): void {
    if (view.epoch !== this.#epoch) this.#tokens.clear();
    this.#epoch = view.epoch;
    this.#membersLists = [view.members];
    this.#rowExpiresAtMs = Math.max(
      this.#rowExpiresAtMs,
      sentAtMs + this.#leaseDurationMs,
    );
  }

  /**
   * Adds a members list whose write may or may not have taken effect. Until
   * the outcome is known, the authority needs a majority of every list.
   */
  addMembersList(members: readonly DaemonInfo[]): void {
    this.#membersLists = [...this.#membersLists, members];
  }

  /** Sets the only members list, once the committed list is known. */
  setMembersList(members: readonly DaemonInfo[]): void {
    this.#membersLists = [members];
  }

  /** Records a token of this epoch that a member returned. */
  confirmMember(daemonId: DaemonId, tokenMs: number): void {
    const known = this.#tokens.get(daemonId) ?? Number.NEGATIVE_INFINITY;
    this.#tokens.set(daemonId, Math.max(known, tokenMs));
  }

  /** Ends the authority at once, without a change to the lease row. */
  relinquish(): void {
    this.#epoch = 0;
    this.#rowExpiresAtMs = Number.NEGATIVE_INFINITY;
    this.#membersLists = [];
    this.#tokens.clear();
  }

  /** Whether the lease row alone still gives authority. */
  isRowFresh(nowMs: number): boolean {
    return nowMs < this.#rowExpiresAtMs;
  }

  /** Local instant at which this daemon's authority ends. */
  expiresAtMs(nowMs: number): number {
    if (this.#epoch === 0) return Number.NEGATIVE_INFINITY;
    return Math.max(this.#rowExpiresAtMs, this.#majorityExpiresAtMs(nowMs));
  }

  #majorityExpiresAtMs(nowMs: number): number {
    const expiriesAtMs = this.#membersLists.map((members) =>
      this.#majorityTokenMs(members, nowMs) + this.#leaseDurationMs
    );
    return expiriesAtMs.length === 0
      ? Number.NEGATIVE_INFINITY
      : Math.min(...expiriesAtMs);
  }

  /**
   * The oldest token among the strict majority with the newest tokens. This
   * daemon is a member of that majority and always counts with `nowMs`.
   */
  #majorityTokenMs(members: readonly DaemonInfo[], nowMs: number): number {
    const tokens = members.map(({ daemonId }) =>
      daemonId === this.#selfId
        ? nowMs
        : this.#tokens.get(daemonId) ?? Number.NEGATIVE_INFINITY
    );
    tokens.sort((a, b) => b - a);
    return tokens[Math.floor(members.length / 2)] ?? Number.NEGATIVE_INFINITY;
  }
}
