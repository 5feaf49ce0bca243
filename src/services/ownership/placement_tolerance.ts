/**
 * Computes the load that each server may have before items move away from it.
 * An item heavier than the mean load cannot be divided. The limit of its server
 * is therefore based on that item, and the limit of the other servers on the
 * mean load of the remaining items.
 */
import type { ServerId } from "../../types/types.ts";
import type { PlacementDraft } from "./placement_draft.ts";

const baseToleranceFraction = 0.06;
const toleranceFractionPerChurnWeight = 0.002;
const maxChurnWeight = 10;

/** The fraction of the mean load by which a server's load may exceed it. */
export function computeToleranceFraction(churnWeight: number): number {
  const weight = Math.min(churnWeight, maxChurnWeight);
  return baseToleranceFraction + toleranceFractionPerChurnWeight * weight;
}

/** Compares the load of each server with its limit. */
export class LoadTolerance {
  readonly #draft: PlacementDraft;
  readonly #allowed: ReadonlyMap<ServerId, number>;

  constructor(draft: PlacementDraft) {
    this.#draft = draft;
    this.#allowed = computeAllowedLoads(draft);
  }

  /**
   * The server with the highest ratio of load to limit; undefined when every
   * server is within its limit.
   */
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
  const factor = 1 + computeToleranceFraction(churnWeight);
  const restMean = computeRestMean(draft);
  const itemsByServer = draft.itemsByServer();
  return new Map(draft.input.servers.map(({ serverId }) => {
    const items = itemsByServer.get(serverId) ?? [];
    const heaviest = Math.max(0, ...items.map((item) => item.rate));
    return [serverId, Math.max(restMean, heaviest) * factor];
  }));
}

/**
 * The mean load of the remaining servers when each item heavier than the mean
 * has a server to itself.
 */
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
