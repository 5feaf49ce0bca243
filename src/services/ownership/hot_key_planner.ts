/**
 * Adds overrides that assign hot keys to another server than their shard's
 * owner, and removes the overrides of keys that are no longer hot. The number
 * of overrides is bounded, so that the assignment row stays small under any
 * load.
 */
import { MoveReason } from "../../types/enums.ts";
import type { PlacementDraft } from "./placement_draft.ts";

/** Thresholds at which an override is added or removed. */
export interface HotKeyOptions {
  readonly maxOverrides: number;
  /** Fraction of the mean server load above which a key gets an override. */
  readonly enterFraction: number;
  /** Fraction of the mean server load below which an override is removed. */
  readonly leaveFraction: number;
  /**
   * Minimum difference between the load of the key's owner and that of the
   * new server with the key, as a fraction of the mean server load.
   */
  readonly minGainFraction: number;
}

/** Thresholds that the placements use by default. */
export const defaultHotKeyOptions: HotKeyOptions = {
  maxOverrides: 16,
  enterFraction: 0.25,
  leaveFraction: 0.1,
  minGainFraction: 0.05,
};

/** Plans the overrides of one service. */
export class HotKeyPlanner {
  readonly #options: HotKeyOptions;

  constructor(options: HotKeyOptions = defaultHotKeyOptions) {
    this.#options = options;
  }

  /** Adds the changes of overrides to the draft, within its move budget. */
  plan(draft: PlacementDraft): void {
    const meanLoad = draft.meanLoad();
    this.#removeColdOverrides(draft, meanLoad * this.#options.leaveFraction);
    this.#moveOverridesOfLostServers(draft);
    this.#addHotKeyOverrides(draft, meanLoad);
  }

  #removeColdOverrides(draft: PlacementDraft, leaveRate: number): void {
    const keys = draft.overriddenKeys()
      .toSorted((a, b) => draft.keyRate(a) - draft.keyRate(b));
    const excessCount = keys.length - this.#options.maxOverrides;
    for (const [index, key] of keys.entries()) {
      const isCold = draft.keyRate(key) < leaveRate;
      if (isCold || index < excessCount) {
        draft.removeOverride(key, MoveReason.HotKey);
      }
    }
  }

  #moveOverridesOfLostServers(draft: PlacementDraft): void {
    for (const key of draft.overriddenKeys()) {
      if (draft.tryGetOverride(key) !== undefined) continue;
      const target = draft.tryGetLeastLoadedServer();
      if (target === undefined) return;
      draft.setOverride(key, target, MoveReason.ServerLost);
    }
  }

  #addHotKeyOverrides(draft: PlacementDraft, meanLoad: number): void {
    const enterRate = meanLoad * this.#options.enterFraction;
    const minGain = meanLoad * this.#options.minGainFraction;
    for (const { key, requestsPerSecond } of draft.input.hotKeys) {
      if (requestsPerSecond < enterRate) continue;
      const overridden = draft.overriddenKeys();
      if (overridden.length >= this.#options.maxOverrides) return;
      if (!overridden.includes(key)) tryAddOverride(draft, key, { minGain });
    }
  }
}

/**
 * Assigns a key to the least loaded server if that server, with the key, has
 * a load at least `minGain` below that of the shard's owner.
 */
function tryAddOverride(
  draft: PlacementDraft,
  key: string,
  { minGain }: { readonly minGain: number },
): void {
  const owner = draft.tryGetOwner(draft.shardOf(key));
  const target = draft.tryGetLeastLoadedServer();
  if (owner === undefined || target === undefined) return;
  const targetLoad = draft.load(target) + draft.keyRate(key);
  if (draft.load(owner) - targetLoad < minGain) return;
  draft.setOverride(key, target, MoveReason.HotKey);
}
