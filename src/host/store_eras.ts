/**
 * The eras of the store, as one daemon sees them in the store's answers and in
 * what other daemons pass on. The store begins a new era when it comes back
 * from an older copy.
 */
import { ChangeSignal } from "../streams/change_signal.ts";

/** How the era of an answer relates to the newest one that is known. */
export enum EraRelation {
  Current = "current",
  /** The answer is late: what it says of the store may have been undone. */
  Older = "older",
}

/** Follows the newest era. */
export class StoreEras {
  /** Notified when a new era begins, and after the first answer without an era. */
  readonly changed = new ChangeSignal();
  #current: number | undefined;
  #previous: number | undefined;
  #changedAtMs: number | undefined;
  #oddAnswerCount = 0;

  /** The newest era; 0 before any is known. */
  get current(): number {
    return this.#current ?? 0;
  }

  /** The era before; undefined if this daemon has seen no other. */
  get previous(): number | undefined {
    return this.#previous;
  }

  /** Instant of the monotonic clock at which this daemon first saw the current era; undefined if it has seen no other. */
  get changedAtMs(): number | undefined {
    return this.#changedAtMs;
  }

  /** Number of answers without a readable era. */
  get oddAnswerCount(): number {
    return this.#oddAnswerCount;
  }

  /** Notes the era of an answer; undefined for an answer without a readable one, which counts as current. */
  note(era: number | undefined, nowMs: number): EraRelation {
    if (era === undefined) {
      // Answers without an era are of era 0, unless a number came before.
      this.#current ??= 0;
      this.#oddAnswerCount += 1;
      if (this.#oddAnswerCount === 1) this.changed.notify();
      return EraRelation.Current;
    }
    if (era < this.current) return EraRelation.Older;
    const isFirst = this.#current === undefined;
    if (era > this.current || isFirst) {
      this.#previous = this.#current;
      this.#current = era;
      if (!isFirst) {
        this.#changedAtMs = nowMs;
        this.changed.notify();
      }
    }
    return EraRelation.Current;
  }
}
