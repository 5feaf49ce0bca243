/**
 * How often requests of this daemon were refused lately for lack of room, by
 * service and route. Answers long overload: callers return later the more are
 * refused, and a route that is refused far more often than the others of its
 * service no longer leaves room for them, so that no class starves.
 */

/** Time in which a request loses two thirds of its weight. */
const decayTimeMs = 3_000;
/** Weight of what is assumed before requests were counted, in requests. */
const priorCount = 2;
/** A route starves below this fraction of its service's level; callers need a quarter. */
const starvedFraction = 0.5;

/** Decaying counts of requests. */
class Level {
  #servedCount = 0;
  #refusedCount = 0;
  #updatedAtMs = 0;

  note(wasServed: boolean, nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.#updatedAtMs) / decayTimeMs);
    this.#servedCount = this.#servedCount * factor + (wasServed ? 1 : 0);
    this.#refusedCount = this.#refusedCount * factor + (wasServed ? 0 : 1);
    this.#updatedAtMs = nowMs;
  }

  /** `priorFraction` is assumed before requests were counted. */
  refusedFraction(nowMs: number, priorFraction: number): number {
    const factor = Math.exp(-(nowMs - this.#updatedAtMs) / decayTimeMs);
    const refusedCount = this.#refusedCount * factor;
    const count = this.#servedCount * factor + refusedCount;
    return (refusedCount + priorCount * priorFraction) / (count + priorCount);
  }
}

/** A route at one of its services. */
export interface ServiceUse {
  readonly service: string;
  readonly route: string;
}

/** The levels of one daemon. */
export class ServiceLevels {
  readonly #levels = new Map<string, Level>();

  /** Counts a request that was served, or refused for lack of room. */
  note(
    { service, route }: ServiceUse,
    options: { readonly wasServed: boolean; readonly nowMs: number },
  ): void {
    for (const name of [service, `${service} ${route}`]) {
      let level = this.#levels.get(name);
      if (level === undefined) this.#levels.set(name, level = new Level());
      level.note(options.wasServed, options.nowMs);
    }
  }

  /** Fraction of a service's recent requests that were refused, from 0 to below 1. */
  refusedFraction(service: string, nowMs: number): number {
    return this.#levels.get(service)?.refusedFraction(nowMs, 0) ?? 0;
  }

  /** Whether a route is served far less often than its whole service. */
  isStarved({ service, route }: ServiceUse, nowMs: number): boolean {
    const own = this.#levels.get(`${service} ${route}`);
    if (own === undefined) return false;
    const refusedFraction = this.refusedFraction(service, nowMs);
    const servedFraction = 1 - own.refusedFraction(nowMs, refusedFraction);
    return servedFraction < starvedFraction * (1 - refusedFraction);
  }
}
