/**
 * Whether this daemon may decide as coordinator. Its authority stands while
 * its lease row is fresh in the table, or while a strict majority of the
 * epoch's members confirmed it within the lease. Confirmations are dated by
 * the coordinator's own tokens: a member returns the newest token it received,
 * so that a report that was delayed on its way counts from when the token was
 * made, not from when the report arrived.
 */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";
import type { CoordinatorView } from "./sync_messages.ts";

/** The coordinator's right to decide, for one epoch at a time. */
export class Authority {
  readonly #selfId: DaemonId;
  readonly #leaseDurationMs: number;
  readonly #tokens = new Map<DaemonId, number>();
  #epoch = 0;
  #rowExpiresAtMs = Number.NEGATIVE_INFINITY;
  #electorates: readonly (readonly DaemonInfo[])[] = [];

  constructor(selfId: DaemonId, leaseDurationMs: number) {
    this.#selfId = selfId;
    this.#leaseDurationMs = leaseDurationMs;
  }

  /** The epoch of this daemon's lease; 0 when it holds none. */
  epoch(): number {
    return this.#epoch;
  }

  /**
   * Records a committed lease row. `sentAtMs` is the local instant before the
   * write was sent.
   */
  confirmRow(view: CoordinatorView, sentAtMs: number): void {
    if (view.epoch !== this.#epoch) this.#tokens.clear();
    this.#epoch = view.epoch;
    this.#electorates = [view.members];
    this.#rowExpiresAtMs = Math.max(
      this.#rowExpiresAtMs,
      sentAtMs + this.#leaseDurationMs,
    );
  }

  /**
   * Notes a members list whose write may have taken effect: until that is
   * known, a majority of both lists is needed.
   */
  addElectorate(members: readonly DaemonInfo[]): void {
    this.#electorates = [...this.#electorates, members];
  }

  /** Notes that the recorded members are known again. */
  setElectorate(members: readonly DaemonInfo[]): void {
    this.#electorates = [members];
  }

  /** Records that a member returned a token of this epoch. */
  confirmMember(daemonId: DaemonId, tokenMs: number): void {
    const known = this.#tokens.get(daemonId) ?? Number.NEGATIVE_INFINITY;
    this.#tokens.set(daemonId, Math.max(known, tokenMs));
  }

  /** Gives up the lease, whatever the row says. */
  relinquish(): void {
    this.#epoch = 0;
    this.#rowExpiresAtMs = Number.NEGATIVE_INFINITY;
    this.#electorates = [];
    this.#tokens.clear();
  }

  /** Whether the lease row is fresh. */
  isRowFresh(nowMs: number): boolean {
    return nowMs < this.#rowExpiresAtMs;
  }

  /** Local instant until which this daemon may decide. */
  expiresAtMs(nowMs: number): number {
    if (this.#epoch === 0) return Number.NEGATIVE_INFINITY;
    return Math.max(this.#rowExpiresAtMs, this.#majorityExpiresAtMs(nowMs));
  }

  #majorityExpiresAtMs(nowMs: number): number {
    const ends = this.#electorates.map((members) =>
      this.#majorityTokenMs(members, nowMs) + this.#leaseDurationMs
    );
    return ends.length === 0 ? Number.NEGATIVE_INFINITY : Math.min(...ends);
  }

  /** The oldest token of the freshest strict majority; this daemon is in it. */
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
