/**
 * Learns how much work the requests of each route are at the servers of a
 * service, apart from the slowness and the load of the server that ran them.
 */

/** Service time that is assumed before the first answer, and its weight in answers. */
const assumed = { serviceMs: 150, sampleCount: 3 };
/** Weight of the newest sample once there are many. */
const minSampleWeight = 0.02;

interface Work {
  sampleCount: number;
  meanMs: number;
  meanLogMs: number;
}

/** Mean work of each route at each service, in the time of an average server that isn't full. */
export class RouteWork {
  /** By service, then by route. */
  readonly #works = new Map<string, Map<string, Work>>();

  /** The mean logarithm of the work in milliseconds; undefined before the first sample. */
  tryGetLogMs(service: string, route: string): number | undefined {
    return this.#works.get(service)?.get(route)?.meanLogMs;
  }

  /** The mean work. */
  getMs(service: string, route: string): number {
    return this.#works.get(service)?.get(route)?.meanMs ??
      assumed.serviceMs;
  }

  /** Adds the time of an answer, from which slowness, degradation and queue were divided out. */
  add(service: string, route: string, workMs: number): void {
    const works = this.#works.get(service) ?? new Map<string, Work>();
    this.#works.set(service, works);
    const work = works.get(route) ??
      { sampleCount: 0, meanMs: assumed.serviceMs, meanLogMs: 0 };
    works.set(route, work);
    work.sampleCount += 1;
    const weight = Math.max(minSampleWeight, 1 / work.sampleCount);
    const meanWeight = Math.max(
      minSampleWeight,
      1 / (work.sampleCount + assumed.sampleCount),
    );
    work.meanMs += (workMs - work.meanMs) * meanWeight;
    work.meanLogMs += (Math.log(workMs) - work.meanLogMs) * weight;
  }
}
