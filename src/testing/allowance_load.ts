/**
 * A load of requests on the admission services of a test fleet, and the
 * measurement of over-use and under-use over every window of a given length.
 */
import { SeededRandomSource } from "../host/random_source.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { RouterError } from "../types/errors.ts";
import type { TestDaemon, TestFleet } from "./test_fleet.ts";

/** The load that callers produce. */
export interface LoadShape {
  readonly durationMs: number;
  readonly ratePerSecond: number;
  readonly customer?: string;
  /** Picks the customer of each request, in place of `customer`. */
  readonly chooseCustomer?: () => string;
  /** Picks the daemon of a request; the fraction is in [0, 1). */
  readonly chooseDaemon: (fraction: number) => TestDaemon | undefined;
}

/** Sends requests and records their results, in times of the shared clock. */
export class AllowanceLoad {
  readonly admittedAtMs: number[] = [];
  readonly refusals: RouterError[] = [];
  readonly #fleet: TestFleet;
  readonly #random: SeededRandomSource;

  constructor(fleet: TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new SeededRandomSource(seed);
  }

  /** Sends requests at exponentially distributed intervals. */
  async run(shape: LoadShape): Promise<void> {
    const { clock } = this.#fleet;
    const endsAtMs = clock.nowMs() + shape.durationMs;
    const meanIntervalMs = 1_000 / shape.ratePerSecond;
    let dueAtMs = clock.nowMs();
    while (clock.nowMs() < endsAtMs) {
      while (dueAtMs <= clock.nowMs()) {
        this.#send(shape);
        dueAtMs -= Math.log(1 - this.#random.nextFraction()) * meanIntervalMs;
      }
      const nextAtMs = Math.min(endsAtMs, Math.ceil(dueAtMs));
      await clock.advance(Math.max(1, nextAtMs - clock.nowMs()));
    }
  }

  #send(shape: LoadShape): void {
    const { chooseDaemon, chooseCustomer } = shape;
    const customer = chooseCustomer?.() ?? shape.customer ?? "customer";
    const daemon = chooseDaemon(this.#random.nextFraction());
    if (daemon === undefined) return;
    const { signal } = new AbortController();
    const request = this.#fleet.createRequest({ customer });
    daemon.kernel.get(ServiceName.Admission).admit(request, signal)
      .then((result) => {
        if (result.isErr()) this.refusals.push(result.error);
        else this.admittedAtMs.push(this.#fleet.clock.nowMs());
      });
  }
}

/** The measured time span, and the allowance of each window. */
export interface UseMeasure {
  readonly fromMs: number;
  readonly toMs: number;
  readonly windowMs: number;
  readonly allowedCount: number;
}

/** Over-use and under-use in the respective worst window, as fractions of the allowance. */
export interface UseError {
  readonly overUse: number;
  readonly underUse: number;
}

const measureStepMs = 50;

/** Measures the use by sliding a window over the admitted requests. */
export function measureUse(
  admittedAtMs: readonly number[],
  { fromMs, toMs, windowMs, allowedCount }: UseMeasure,
): UseError {
  const sorted = [...admittedAtMs].sort((a, b) => a - b);
  let highestCount = 0;
  let lowestCount = Number.POSITIVE_INFINITY;
  for (
    let startsAtMs = fromMs;
    startsAtMs + windowMs <= toMs;
    startsAtMs += measureStepMs
  ) {
    const count = countBefore(sorted, startsAtMs + windowMs) -
      countBefore(sorted, startsAtMs);
    highestCount = Math.max(highestCount, count);
    lowestCount = Math.min(lowestCount, count);
  }
  return {
    overUse: highestCount / allowedCount - 1,
    underUse: 1 - lowestCount / allowedCount,
  };
}

/** Counts the sorted instants before `limitMs`, by binary search. */
function countBefore(sorted: readonly number[], limitMs: number): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle]! < limitMs) low = middle + 1;
    else high = middle;
  }
  return low;
}
