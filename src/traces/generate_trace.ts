/**
 * Generates traces from a scenario and a size, which includes the seed. The same
 * scenario and size yield the same bytes on every machine.
 */
import {
  type RandomSource,
  SeededRandomSource,
} from "../host/random_source.ts";
import { RequestClass } from "../types/enums.ts";
import { KeySampler } from "./key_sampler.ts";
import type { TraceScenario, TraceSize } from "./trace_scenario.ts";
import {
  type Trace,
  type TraceEvent,
  TraceEventKind,
  type TraceHeader,
  type TraceHotKeyShift,
  TraceMethod,
  type TraceRequest,
  type TraceService,
} from "./trace_schema.ts";

const hotKeyShiftCount = 6;
const rateSampleCount = 1_000;

/** Generates a whole trace in memory. */
export function generateTrace(scenario: TraceScenario, size: TraceSize): Trace {
  const header = scenario.createHeader(size);
  return { header, events: [...generateEvents(scenario, size, header)] };
}

/** Yields the events in order of time. */
function* generateEvents(
  scenario: TraceScenario,
  size: TraceSize,
  header: TraceHeader,
): Generator<TraceEvent> {
  const random = new SeededRandomSource(size.seed);
  const samplers = createSamplers(header, random);
  const plannedEvents = [
    ...scenario.plannedEvents(size),
    ...generateHotKeyShifts(scenario, { header, samplers }),
  ].sort((a, b) => a.atMs - b.atMs);
  for (const atMs of generateArrivals(scenario, size, random)) {
    while ((plannedEvents[0]?.atMs ?? Infinity) <= atMs) {
      const event = plannedEvents.shift()!;
      applyHotKeyShift(event, samplers);
      yield event;
    }
    yield createRequest(scenario, { header, samplers, random, atMs });
  }
  yield* plannedEvents;
}

function createSamplers(
  header: TraceHeader,
  random: RandomSource,
): ReadonlyMap<string, KeySampler> {
  return new Map(
    header.services.map((service) => [
      service.name,
      new KeySampler(random, { ...service, keyPrefix: "key" }),
    ]),
  );
}

/** Generates the events that replace the hot keys of each service at even intervals. */
function generateHotKeyShifts(
  scenario: TraceScenario,
  { header, samplers }: {
    readonly header: TraceHeader;
    readonly samplers: ReadonlyMap<string, KeySampler>;
  },
): TraceEvent[] {
  const intervalMs = header.durationMs / hotKeyShiftCount;
  return header.services.flatMap((service) => {
    const fractions = scenario.hotKeyFractions(service);
    if (fractions.length === 0) return [];
    const sampler = samplers.get(service.name)!;
    return Array.from({ length: hotKeyShiftCount }, (_, index) => ({
      kind: TraceEventKind.HotKeyShift as const,
      atMs: Math.round(index * intervalMs),
      service: service.name,
      hotKeys: fractions.map((fraction) => ({
        key: sampler.nextColdKey(),
        share: fraction,
      })),
    }));
  });
}

function applyHotKeyShift(
  event: TraceEvent,
  samplers: ReadonlyMap<string, KeySampler>,
): void {
  if (event.kind !== TraceEventKind.HotKeyShift) return;
  const shift: TraceHotKeyShift = event;
  samplers.get(shift.service)?.setHotKeys(shift.hotKeys);
}

/** Yields the instants of a Poisson process whose rate follows the scenario. */
function* generateArrivals(
  scenario: TraceScenario,
  size: TraceSize,
  random: RandomSource,
): Generator<number> {
  const meanRelativeRate = computeMeanRelativeRate(scenario);
  const meanInterarrivalMs = 1_000 / size.requestsPerSecond;
  let atMs = 0;
  for (;;) {
    const fraction = atMs / size.durationMs;
    const rate = scenario.relativeRate(fraction) / meanRelativeRate;
    atMs += -Math.log(1 - random.nextFraction()) * meanInterarrivalMs / rate;
    if (atMs >= size.durationMs) return;
    yield Math.floor(atMs);
  }
}

function computeMeanRelativeRate(scenario: TraceScenario): number {
  let total = 0;
  for (let index = 0; index < rateSampleCount; index++) {
    total += scenario.relativeRate((index + 0.5) / rateSampleCount);
  }
  return total / rateSampleCount;
}

function createRequest(
  scenario: TraceScenario,
  { header, samplers, random, atMs }: {
    readonly header: TraceHeader;
    readonly samplers: ReadonlyMap<string, KeySampler>;
    readonly random: RandomSource;
    readonly atMs: number;
  },
): TraceRequest {
  const service = chooseByFraction(
    header.services,
    (candidate: TraceService) => candidate.requestShare,
    random,
  );
  const { customer } = chooseByFraction(
    scenario.customersOf(service),
    (candidate) => candidate.fraction,
    random,
  );
  const isConfirmation = service.requestClass === RequestClass.Confirmation;
  return {
    kind: TraceEventKind.Request,
    atMs,
    service: service.name,
    key: samplers.get(service.name)!.nextKey(),
    customer,
    method: isConfirmation ? TraceMethod.Post : TraceMethod.Get,
    ...(isConfirmation ? { idempotencyKey: random.nextId() } : {}),
  };
}

function chooseByFraction<T>(
  candidates: readonly T[],
  fractionOf: (candidate: T) => number,
  random: RandomSource,
): T {
  let fraction = random.nextFraction();
  for (const candidate of candidates) {
    fraction -= fractionOf(candidate);
    if (fraction < 0) return candidate;
  }
  return candidates.at(-1)!;
}
