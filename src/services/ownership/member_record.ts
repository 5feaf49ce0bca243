/**
 * What this daemon knows of the coordinator, and what it promised. A promise
 * lasts as long as the process: the member confirms no epoch below the
 * promised one again, and takes no permit from it.
 */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";
import type { CoordinatorView, PromiseAnswer } from "./sync_messages.ts";

/** Members lists remembered, so that reports from before a change count. */
const rememberedListCount = 4;

const unknownView: CoordinatorView = {
  epoch: 0,
  holderId: "",
  membersVersion: 0,
  members: [],
};

/** The member's side of the lease. */
export class MemberRecord {
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

  /** A recent members list by its version. */
  tryGetMembers(membersVersion: number): readonly DaemonInfo[] | undefined {
    return this.#recentViews
      .find((view) => view.membersVersion === membersVersion)?.members;
  }

  /** The lowest epoch that this daemon may confirm. */
  promisedEpoch(): number {
    return this.#promisedEpoch;
  }

  /** The daemon that may become the next coordinator. */
  tryGetCandidate(): DaemonInfo | undefined {
    return this.#promisedEpoch > this.#view.epoch ? this.#candidate : undefined;
  }

  /** The token to return to the coordinator; undefined when it confirms none. */
  confirmedTokenMs(): number | undefined {
    return this.#view.epoch >= this.#promisedEpoch ? this.#tokenMs : undefined;
  }

  /** Whether an answer of this epoch may extend the permit. */
  isFollowed(epoch: number): boolean {
    return epoch === this.#view.epoch && epoch >= this.#promisedEpoch;
  }

  /** Takes a view unless it is older; returns whether the epoch changed. */
  learn(view: CoordinatorView): boolean {
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

  /** Notes a token that came with an answer. */
  receiveToken(epoch: number, tokenMs: number, nowMs: number): void {
    if (!this.isFollowed(epoch)) return;
    if (this.#tokenMs !== undefined && tokenMs <= this.#tokenMs) return;
    this.#tokenMs = tokenMs;
    this.#tokenReceivedAtMs = nowMs;
  }

  /** Promises to abandon every epoch below `epoch`, unless one is followed. */
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

  /** Whether a daemon is the coordinator of the view. */
  isHolder(daemonId: DaemonId): boolean {
    return this.#view.holderId === daemonId;
  }
}
