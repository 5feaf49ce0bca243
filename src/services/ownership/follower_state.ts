/**
 * The state of this daemon as a follower: its view of the coordinator, the
 * newest token it received and the epoch it promised to follow. A promise is
 * valid until the process ends: the daemon neither confirms nor accepts a
 * permit of an epoch below the promised one.
 */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";
import type { CoordinatorView, PromiseAnswer } from "./sync_messages.ts";

/**
 * Number of recent members lists that are kept, so that a report that was
 * encoded before a change of members can still be decoded.
 */
const rememberedListCount = 4;

const unknownView: CoordinatorView = {
  epoch: 0,
  holderId: "",
  membersVersion: 0,
  members: [],
};

/** Stores the view of the coordinator, the newest token and the promise. */
export class FollowerState {
  #view = unknownView;
  #recentViews: readonly CoordinatorView[] = [];
  #promisedEpoch = 0;
  #candidate: DaemonInfo | undefined;
  #tokenMs: number | undefined;
  #tokenReceivedAtMs = Number.NEGATIVE_INFINITY;

  /** The newest view of the coordinator. */
  view(): CoordinatorView {
    return this.#view;
  }

  /** A recent members list; undefined when the version is not kept. */
  tryGetMembers(membersVersion: number): readonly DaemonInfo[] | undefined {
    return this.#recentViews
      .find((view) => view.membersVersion === membersVersion)?.members;
  }

  /** The lowest epoch that this daemon may confirm. */
  promisedEpoch(): number {
    return this.#promisedEpoch;
  }

  /** The candidate of the promised epoch, while that has no coordinator. */
  tryGetCandidate(): DaemonInfo | undefined {
    return this.#promisedEpoch > this.#view.epoch ? this.#candidate : undefined;
  }

  /** The token to return to the coordinator; undefined after a new promise. */
  confirmedTokenMs(): number | undefined {
    return this.#view.epoch >= this.#promisedEpoch ? this.#tokenMs : undefined;
  }

  /** Whether an answer of this epoch may extend the permit. */
  isFollowed(epoch: number): boolean {
    return epoch === this.#view.epoch && epoch >= this.#promisedEpoch;
  }

  /** Replaces the view by a newer one; returns whether the epoch changed. */
  updateView(view: CoordinatorView): boolean {
    if (view.epoch < this.#view.epoch) return false;
    const isNewEpoch = view.epoch > this.#view.epoch;
    if (!isNewEpoch && view.membersVersion <= this.#view.membersVersion) {
      return false;
    }
    this.#view = view;
    this.#recentViews = [view, ...this.#recentViews]
      .slice(0, rememberedListCount);
    if (!isNewEpoch) return false;
    this.#tokenMs = undefined;
    this.#tokenReceivedAtMs = Number.NEGATIVE_INFINITY;
    return true;
  }

  /** Records a token if it is newer than the last and its epoch is followed. */
  receiveToken(epoch: number, tokenMs: number, nowMs: number): void {
    if (!this.isFollowed(epoch)) return;
    if (this.#tokenMs !== undefined && tokenMs <= this.#tokenMs) return;
    this.#tokenMs = tokenMs;
    this.#tokenReceivedAtMs = nowMs;
  }

  /**
   * Promises to abandon every epoch below `epoch`. Refuses when the view is
   * already of `epoch` or a newer epoch.
   */
  promise(
    { epoch, candidate }: {
      readonly epoch: number;
      readonly candidate: DaemonInfo;
    },
    nowMs: number,
  ): PromiseAnswer {
    const tokenAgeMs = nowMs - this.#tokenReceivedAtMs;
    if (epoch <= this.#view.epoch) {
      return { isPromised: false, epoch: this.#view.epoch, tokenAgeMs };
    }
    if (epoch >= this.#promisedEpoch) this.#candidate = candidate;
    this.#promisedEpoch = Math.max(this.#promisedEpoch, epoch);
    return { isPromised: true, epoch: this.#view.epoch, tokenAgeMs };
  }

  isHolder(daemonId: DaemonId): boolean {
    return this.#view.holderId === daemonId;
  }
}
