/**
 * How much load each server may carry before it is relieved. An item heavier
 * than the mean cannot be divided, so its server is measured against that item
 * and the others against the mean of the rest.
 */
import type { ServerId } from "../../types/types.ts";
import type { PlacementDraft } from "./placement_draft.ts";

const baseToleranceShare = 0.06;
const toleranceSharePerChurnWeight = 0.002;
const maxChurnWeight = 10;

/** The share of the mean by which a load may exceed it. */
export function computeToleranceShare(churnWeight: number): number {
  const weight = Math.min(churnWeight, maxChurnWeight);
  return baseToleranceShare + toleranceSharePerChurnWeight * weight;
}

/** The load that each server may carry. */
export class LoadTolerance {
  readonly #draft: PlacementDraft;
  readonly #allowed: ReadonlyMap<ServerId, number>;

  constructor(draft: PlacementDraft) {
    this.#draft = draft;
    this.#allowed = computeAllowedLoads(draft);
  }

  /** The server furthest beyond its allowed load; undefined when none is. */
  tryGetMostOverloaded(): ServerId | undefined {
    let mostOverloaded: ServerId | undefined;
    let highestRatio = 1;
    for (const [serverId, allowed] of this.#allowed) {
      const ratio = this.#draft.load(serverId) / allowed;
      if (ratio <= highestRatio) continue;
      highestRatio = ratio;
      mostOverloaded = serverId;
    }
    return mostOverloaded;
  }
}

function computeAllowedLoads(
  draft: PlacementDraft,
): ReadonlyMap<ServerId, number> {
  const { churnWeight } = draft.input.definition;
  const factor = 1 + computeToleranceShare(churnWeight);
  const restMean = computeRestMean(draft);
  const itemsByServer = draft.itemsByServer();
  return new Map(draft.input.servers.map(({ serverId }) => {
    const items = itemsByServer.get(serverId) ?? [];
    const heaviest = Math.max(0, ...items.map((item) => item.rate));
    return [serverId, Math.max(restMean, heaviest) * factor];
  }));
}

/** The mean load once items heavier than it have servers of their own. */
function computeRestMean(draft: PlacementDraft): number {
  const rates = draft.items().map((item) => item.rate)
    .toSorted((a, b) => b - a);
  let restTotal = rates.reduce((sum, rate) => sum + rate, 0);
  let restCount = draft.input.servers.length;
  for (const rate of rates) {
    if (restCount <= 1 || rate <= restTotal / restCount) break;
    restTotal -= rate;
    restCount -= 1;
  }
  return restTotal / Math.max(1, restCount);
}
