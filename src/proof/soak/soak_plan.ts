/**
 * Plans of the soak: which events are caused during one run, when and for how
 * long. A plan is a function of its seed and length.
 */
import type { RandomSource } from "../../host/random_source.ts";
import { SeededRandomSource } from "../../host/random_source.ts";

/** The events that a run can cause from outside the daemons. */
export enum SoakEvent {
  DaemonPaused = "daemon-paused",
  DaemonKilled = "daemon-killed",
  AllDaemonsKilled = "all-daemons-killed",
  DaemonStopped = "daemon-stopped",
  DaemonReloaded = "daemon-reloaded",
  StoreDown = "store-down",
  StoreSlow = "store-slow",
  StoreLosesAnswers = "store-loses-answers",
  StoreHistoryDiscarded = "store-forgets",
  StoreLinkFaulty = "store-link-spoilt",
  PeerLinkFaulty = "peer-link-spoilt",
  ServerLinkFaulty = "server-link-spoilt",
  ServerCrashed = "server-crashed",
  ServerRestarted = "server-reborn",
  ServerDrained = "server-drained",
  ServerAdded = "server-added",
  ServerFaulty = "server-faulty",
  ConfigurationChanged = "configuration-changed",
  DataCentreEvacuated = "data-centre-evacuated",
  /** The store is away for a moment and comes back from an older copy. */
  StoreSetBack = "store-set-back",
}

/** Planned operations of an operator; they must lose no answer to a caller. */
export const plannedEvents: ReadonlySet<SoakEvent> = new Set([
  SoakEvent.DaemonStopped,
  SoakEvent.DaemonReloaded,
  SoakEvent.ServerDrained,
  SoakEvent.ServerAdded,
  SoakEvent.ConfigurationChanged,
  SoakEvent.DataCentreEvacuated,
]);

/** One event of a plan. */
export interface SoakStep {
  readonly event: SoakEvent;
  readonly startsAtMs: number;
  readonly durationMs: number;
  /** Selects a daemon or server among those that run at the start of the event; in [0, 1). */
  readonly targetFraction: number;
  /** Selects the variant of the event; in [0, 1). */
  readonly variantFraction: number;
}

/** The events of one run. */
export interface SoakPlan {
  readonly seed: number;
  readonly lengthMs: number;
  /** Whether all events are planned operations. */
  readonly isPlannedOnly: boolean;
  readonly steps: readonly SoakStep[];
}

/** Mean time between the starts of two events, which may overlap. */
const meanGapMs = 900;
const stepDuration = { minMs: 300, maxMs: 6_000 };
/** One seed in this many results in planned operations only. */
const plannedOnlySeedInterval = 5;
/** Fraction of the events that repeat the preceding event after `repeatGapMs`. */
const repeatFraction = 0.25;
const repeatGapMs = 400;

/** An evacuation lasts long enough to be known everywhere and to be checked. */
const evacuationDuration = { minMs: 2_500, maxMs: 5_000 };
const maxEvacuationCount = 2;
/** How long the store is away before it comes back from an older copy. */
const setBackDuration = { minMs: 200, maxMs: 5_000 };
/** Events that are drawn apart from the others. */
const separateEvents: ReadonlySet<SoakEvent> = new Set([
  SoakEvent.DataCentreEvacuated,
  SoakEvent.StoreSetBack,
]);

/** Creates the plan of a seed, in which the store is set back `setBackCount` times. */
export function createSoakPlan(
  seed: number,
  lengthMs: number,
  { setBackCount = 0 }: { readonly setBackCount?: number } = {},
): SoakPlan {
  const random = new SeededRandomSource(seed);
  const isPlannedOnly = setBackCount === 0 &&
    seed % plannedOnlySeedInterval === 0;
  const events = (isPlannedOnly ? [...plannedEvents] : Object.values(SoakEvent))
    .filter((event) => !separateEvents.has(event));
  const steps: SoakStep[] = [];
  let atMs = 0;
  while (atMs < lengthMs) {
    const previous = steps.at(-1);
    const isRepeat = previous !== undefined &&
      random.nextFraction() < repeatFraction;
    atMs += isRepeat ? repeatGapMs : 2 * meanGapMs * random.nextFraction();
    steps.push({
      event: isRepeat ? previous.event : pickRandom(events, random),
      startsAtMs: Math.round(atMs),
      durationMs: Math.round(
        stepDuration.minMs +
          (stepDuration.maxMs - stepDuration.minMs) * random.nextFraction(),
      ),
      targetFraction: random.nextFraction(),
      variantFraction: random.nextFraction(),
    });
  }
  steps.push(...createEvacuations(random, lengthMs));
  steps.push(...createSetBacks(random, { lengthMs, count: setBackCount }));
  steps.sort((a, b) => a.startsAtMs - b.startsAtMs);
  return { seed, lengthMs, isPlannedOnly, steps };
}

/** Creates the evacuations of a plan, after all other events, so that these stay the same for each seed. */
function createEvacuations(
  random: RandomSource,
  lengthMs: number,
): SoakStep[] {
  const count = random.nextInt(maxEvacuationCount + 1);
  const { minMs, maxMs } = evacuationDuration;
  return Array.from({ length: count }, () => ({
    event: SoakEvent.DataCentreEvacuated,
    startsAtMs: Math.round(lengthMs * random.nextFraction()),
    durationMs: Math.round(minMs + (maxMs - minMs) * random.nextFraction()),
    targetFraction: random.nextFraction(),
    variantFraction: random.nextFraction(),
  }));
}

function createSetBacks(
  random: RandomSource,
  { lengthMs, count }: { readonly lengthMs: number; readonly count: number },
): SoakStep[] {
  const { minMs, maxMs } = setBackDuration;
  return Array.from({ length: count }, () => ({
    event: SoakEvent.StoreSetBack,
    startsAtMs: Math.round(lengthMs * random.nextFraction()),
    durationMs: Math.round(minMs + (maxMs - minMs) * random.nextFraction()),
    targetFraction: random.nextFraction(),
    variantFraction: random.nextFraction(),
  }));
}

/** Selects an element by a fraction in [0, 1). */
export function pickByFraction<T>(items: readonly T[], fraction: number): T {
  return items[Math.floor(fraction * items.length)]!;
}

function pickRandom<T>(items: readonly T[], random: RandomSource): T {
  return pickByFraction(items, random.nextFraction());
}
